#ifndef CURRANTSHED_GROUP_STATEMENT_CONNECTIONS_HPP
#define CURRANTSHED_GROUP_STATEMENT_CONNECTIONS_HPP

#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/group/context.hpp"
#include "currantshed/group/engine.hpp"
#include "currantshed/group/flow.hpp"
#include "currantshed/pool/connection_pool.hpp"
#include "currantshed/route/read_route.hpp"

namespace currantshed::group {

/// A batch that has ended.
struct ended_batch
{
  /// The request that sent it; none if the batch was a rollback by the pool or
  /// the request no longer exists.
  std::optional<request_id> request;
};

/// Statement connections of one group: the server of each, the batch that runs
/// on it, and the actions that open, use and close them.
class statement_connections
{
public:
  statement_connections(context& aContext, std::vector<action>& aActions);

  /// Replaces the list of servers. Connections to servers that were removed or
  /// have another address are closed; returns the requests whose batches ran on
  /// them.
  [[nodiscard]] std::vector<request_id> Configure(const description& aGroup);

  /// Returns the servers as candidates for a batch on a connection of the given
  /// kind. Candidates for a new transaction reserve some connections for other
  /// requests.
  [[nodiscard]] std::vector<route::candidate> Candidates(
    bool aReadOnly,
    bool aForTransaction,
    clock::time_point aNow) const;

  /// Whether any server has a free slot.
  [[nodiscard]] bool HasSlot() const;

  /// Resets the claims on connections being opened, before all waiting requests
  /// are examined again.
  void BeginPass();

  /// Acquires a connection to the candidate: an idle one, or none while one is
  /// being opened, which takes up a slot until the end of the pass.
  [[nodiscard]] std::optional<connection_id> Acquire(std::size_t aCandidate,
                                                     bool aReadOnly,
                                                     clock::time_point aNow);

  /// Whether a checked-out connection can run its next batch, which is when it
  /// has none in progress. Free slots are not required, since the batches that
  /// occupy them may wait for this one.
  [[nodiscard]] bool CanRun(connection_id aConnection) const;

  /// Returns the dispatch data of a batch that is sent now; none if the
  /// connection no longer exists.
  [[nodiscard]] std::optional<dispatch> Dispatch(connection_id aConnection,
                                                 clock::time_point aNow) const;

  /// Sends a batch.
  void Run(connection_id aConnection,
           request_id aRequest,
           std::vector<upstream::statement> aStatements);

  void Opened(connection_id aConnection);
  void Failed(connection_id aConnection, clock::time_point aNow);

  /// Records the end of a batch. Returns none if it is not the one in progress.
  [[nodiscard]] std::optional<ended_batch> Ended(connection_id aConnection,
                                                 std::uint64_t aBatch,
                                                 upstream::batch_end aEnd);

  /// Returns, rolls back, keeps or closes a connection after its batch.
  void ApplyFate(connection_id aConnection, connection_fate aFate);

  /// Detaches the connection from its request. It is closed when its batch
  /// ends.
  void Orphan(connection_id aConnection);

  /// Closes a connection immediately.
  void Close(connection_id aConnection);

  /// Handles a connection that broke. Returns the request whose batch ran on
  /// it.
  [[nodiscard]] std::optional<request_id> Lost(connection_id aConnection);

  /// Opens connections that are likely to be needed, including read-write ones
  /// to replicas that may become the next primary, and closes idle ones to
  /// servers marked as leaving.
  void OpenSpares(clock::time_point aNow);

private:
  struct server
  {
    member description;
    pool::connection_pool pool;
    /// Requests of this pass that wait for a connection being opened.
    unsigned claimsReadOnly = 0;
    unsigned claimsReadWrite = 0;
  };

  struct connection_state
  {
    upstream::server_id server;
    bool readOnly = false;
    std::uint64_t batch = 0;
    bool running = false;
    bool cleaning = false;
    bool orphaned = false;
    std::optional<request_id> request;
  };

  /// Closes the connections to servers that are not listed at the same address;
  /// returns the requests whose batches ran on them.
  [[nodiscard]] std::vector<request_id> CloseAllBut(const description& aGroup);
  [[nodiscard]] server* Find(const upstream::server_id& aServer);
  [[nodiscard]] const server* Find(const upstream::server_id& aServer) const;
  void Open(server& aServer, bool aReadOnly);
  void Erase(connection_id aConnection);
  void OpenSpare(server& aServer, bool aReadOnly, clock::time_point aNow);
  void Start(connection_id aConnection,
             connection_state& aState,
             std::vector<upstream::statement> aStatements);

  context& mContext;
  std::vector<action>& mActions;
  std::vector<server> mServers;
  absl::flat_hash_map<connection_id, connection_state> mStates;
  connection_id mLastConnection = 0;
  std::uint64_t mLastBatch = 0;
};

} // namespace currantshed::group

#endif

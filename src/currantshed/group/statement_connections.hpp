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

/// A batch that has ended: whose it was.
struct ended_batch
{
  /// None when it was the pool's own, or its request has gone.
  std::optional<request_id> request;
};

/// The statement connections of one group: to which server each goes, what
/// runs on it, and the actions that open, use and close them.
class statement_connections
{
public:
  statement_connections(context& aContext, std::vector<action>& aActions);

  /// Takes over the servers. Connections to one that is gone, or has another
  /// address, are closed; requests whose batches ran on them are handed back.
  [[nodiscard]] std::vector<request_id> Configure(const description& aGroup);

  /// The servers as candidates for a batch on a connection of the kind.
  /// Those for a new transaction leave some connections to the others.
  [[nodiscard]] std::vector<route::candidate> Candidates(
    bool aReadOnly,
    bool aForTransaction,
    clock::time_point aNow) const;

  /// Whether any server could take a batch now.
  [[nodiscard]] bool HasSlot() const;

  /// Forgets which connections being opened were meant for whom, before all
  /// waiting requests are looked at again.
  void BeginPass();

  /// Gets a connection to the candidate: an idle one, or none while one is
  /// opened for it, which takes a slot for the rest of the pass.
  [[nodiscard]] std::optional<connection_id> Acquire(std::size_t aCandidate,
                                                     bool aReadOnly,
                                                     clock::time_point aNow);

  /// Whether a held connection may take its next batch: it has none under way.
  /// Slots do not matter here, since others may hold them while they wait for
  /// this one.
  [[nodiscard]] bool CanRun(connection_id aConnection) const;

  /// What a batch that is sent now would be known by; none when the
  /// connection is gone.
  [[nodiscard]] std::optional<dispatch> Dispatch(connection_id aConnection,
                                                 clock::time_point aNow) const;

  /// Sends a batch.
  void Run(connection_id aConnection,
           request_id aRequest,
           std::vector<upstream::statement> aStatements);

  void Opened(connection_id aConnection);
  void Failed(connection_id aConnection, clock::time_point aNow);

  /// A batch has ended; none when it isn't the one under way.
  [[nodiscard]] std::optional<ended_batch> Ended(connection_id aConnection,
                                                 std::uint64_t aBatch,
                                                 upstream::batch_end aEnd);

  /// Deals with a connection after its batch.
  void ApplyFate(connection_id aConnection, connection_fate aFate);

  /// The request no longer waits for what runs on the connection, which is
  /// closed when the batch ends.
  void Orphan(connection_id aConnection);

  /// Closes a connection at once.
  void Close(connection_id aConnection);

  /// The connection broke by itself: the request whose batch ran on it.
  [[nodiscard]] std::optional<request_id> Lost(connection_id aConnection);

  /// Opens connections that are likely to be needed, also by the next primary
  /// at a replica, and closes idle ones to servers that are leaving.
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

  /// Closes the connections to servers that aren't at the same place there;
  /// requests whose batches ran on them are handed back.
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

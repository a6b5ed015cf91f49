#ifndef CURRANTSHED_GROUP_ENGINE_HPP
#define CURRANTSHED_GROUP_ENGINE_HPP

#include <chrono>
#include <cstddef>
#include <memory>
#include <variant>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/group/description.hpp"
#include "currantshed/group/request.hpp"
#include "currantshed/upstream/statement.hpp"
#include "currantshed/upstream/status.hpp"

namespace currantshed::group {

/// Opens a connection for statements; answered by ConnectionOpened or
/// ConnectionFailed.
struct open_connection
{
  connection_id connection = 0;
  upstream::server_id server;
  /// Makes the server refuse every change on this connection.
  bool readOnly = false;
};

/// Closes a connection immediately, whatever is in progress on it. No event is
/// reported for it afterwards.
struct close_connection
{
  connection_id connection = 0;
};

/// Runs a batch as one pipeline on an idle connection; answered by Replied
/// with the same batch number.
struct run_batch
{
  connection_id connection = 0;
  std::uint64_t batch = 0;
  std::vector<upstream::statement> statements;
};

/// Requests the status of a server, on a connection reserved for this; answered
/// by StatusArrived or StatusFailed. The adapter records when it sent the
/// request. At most one request is in flight per server.
struct request_status
{
  upstream::server_id server;
};

/// Returns a final answer.
struct give_answer
{
  answer reply;
};

/// Action to be executed by the adapter, in order.
using action = std::variant<open_connection,
                            close_connection,
                            run_batch,
                            request_status,
                            give_answer>;

/// Limits and times of one engine.
struct engine_settings
{
  /// How long a confirmation by a majority is valid, from the time of the
  /// status requests.
  std::chrono::milliseconds validity{ 200 };
  /// Interval of status requests while no request needs an earlier one.
  std::chrono::milliseconds statusInterval{ 50 };
  /// How long a status request may take before it counts as failed.
  std::chrono::milliseconds statusTimeout{ 150 };
  /// How long an open transaction may be idle, without a request.
  std::chrono::milliseconds transactionIdle{ 10000 };
  /// Maximum number of waiting requests.
  std::size_t queueLimit = 512;
  /// Fraction of a server's connections reserved for a failover.
  double takeoverReserve = 0.5;
  /// How long outcomes are kept; an older key is rejected.
  std::chrono::hours keyRetention{ 24 };
};

/// Decides about the requests of one group at the pooler that serves it: choice
/// of server, connections and slots, verified reads, confirmation by a
/// majority, transactions, and the resolution of unknown outcomes. Performs no
/// I/O: it takes events with the current time and returns actions. Not
/// thread-safe.
class engine
{
public:
  virtual ~engine() = default;

  /// Replaces the list of servers of the group.
  virtual void Configure(const description& aGroup, clock::time_point aNow) = 0;

  /// Accepts a request. Its single answer is an action, at once or later. The
  /// wall time is used for the age of idempotency keys.
  virtual void Submit(request aRequest,
                      clock::time_point aNow,
                      clock::wall_time aWallNow) = 0;

  /// The caller has disconnected. A request that has not been sent is dropped;
  /// a batch in progress runs to its end. No answer is returned.
  virtual void Cancel(request_id aRequest, clock::time_point aNow) = 0;

  virtual void ConnectionOpened(connection_id aConnection,
                                clock::time_point aNow) = 0;

  /// The server could not be reached or refused the connection.
  virtual void ConnectionFailed(connection_id aConnection,
                                clock::time_point aNow) = 0;

  /// An open connection broke. A batch in progress on it is reported as
  /// interrupted by Replied first.
  virtual void ConnectionLost(connection_id aConnection,
                              clock::time_point aNow) = 0;

  virtual void Replied(connection_id aConnection,
                       std::uint64_t aBatch,
                       upstream::reply aReply,
                       clock::time_point aNow) = 0;

  /// Status of a server; aAskedAt is when the status request was sent.
  virtual void StatusArrived(const upstream::server_id& aServer,
                             const upstream::server_status& aStatus,
                             clock::time_point aAskedAt,
                             clock::time_point aNow) = 0;

  virtual void StatusFailed(const upstream::server_id& aServer,
                            clock::time_point aNow) = 0;

  /// Accepts no new requests or transactions; work in progress ends normally.
  virtual void Drain(clock::time_point aNow) = 0;

  /// Processes everything that is due: deadlines, timeouts, status requests.
  virtual void Tick(clock::time_point aNow) = 0;

  /// Latest time at which Tick must be called.
  [[nodiscard]] virtual clock::time_point NextTick() const noexcept = 0;

  /// Number of requests and open transactions that have not ended.
  [[nodiscard]] virtual std::size_t Pending() const noexcept = 0;

  /// Returns the actions since the last call, oldest first.
  [[nodiscard]] virtual std::vector<action> TakeActions() = 0;
};

/// Creates the engine of one group.
[[nodiscard]] std::unique_ptr<engine>
MakeEngine(const engine_settings& aSettings);

} // namespace currantshed::group

#endif

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
  /// Asks the server to refuse every change on this connection.
  bool readOnly = false;
};

/// Closes a connection at once, whatever is under way on it. Nothing is
/// reported back for it.
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

/// Asks a server for its status, on a connection kept for this; answered by
/// StatusArrived, or StatusFailed. The adapter notes when it sent the
/// question. At most one question a server is under way.
struct request_status
{
  upstream::server_id server;
};

/// Hands a final answer back.
struct give_answer
{
  answer reply;
};

/// What the engine wants done. The adapter does them in order.
using action = std::variant<open_connection,
                            close_connection,
                            run_batch,
                            request_status,
                            give_answer>;

/// Bounds and times of one engine.
struct engine_settings
{
  /// How long a majority's word holds, from when it was asked.
  std::chrono::milliseconds validity{ 200 };
  /// Time between status rounds while nothing else asks for one.
  std::chrono::milliseconds statusInterval{ 50 };
  /// How long a status question may take before it counts as failed.
  std::chrono::milliseconds statusTimeout{ 150 };
  /// How long an open transaction may be without a request.
  std::chrono::milliseconds transactionIdle{ 10000 };
  /// Requests that may wait in one engine.
  std::size_t queueLimit = 512;
  /// Share of a server's connections left for a takeover.
  double takeoverReserve = 0.5;
  /// How long outcomes are kept; an older key is refused.
  std::chrono::hours keyRetention{ 24 };
};

/// All decisions about the requests of one group at the pooler that leads it:
/// the choice of server, connections and slots, verified reads, confirmation
/// by a majority, transactions, and the resolution of doubt. Does no I/O:
/// events and the time go in, actions come out. Not safe for use by several
/// threads.
class engine
{
public:
  virtual ~engine() = default;

  /// Takes over the group's servers as the platform gives them now.
  virtual void Configure(const description& aGroup, clock::time_point aNow) = 0;

  /// Accepts a request; its one answer comes as an action, at once or later.
  /// The wall time dates idempotency keys.
  virtual void Submit(request aRequest,
                      clock::time_point aNow,
                      clock::wall_time aWallNow) = 0;

  /// The caller has gone: what has not been sent is dropped, what runs is
  /// left to end. No answer is given.
  virtual void Cancel(request_id aRequest, clock::time_point aNow) = 0;

  virtual void ConnectionOpened(connection_id aConnection,
                                clock::time_point aNow) = 0;

  /// The server could not be reached, or refused the connection.
  virtual void ConnectionFailed(connection_id aConnection,
                                clock::time_point aNow) = 0;

  /// An open connection broke. A batch under way is reported by Replied as
  /// torn before this.
  virtual void ConnectionLost(connection_id aConnection,
                              clock::time_point aNow) = 0;

  virtual void Replied(connection_id aConnection,
                       std::uint64_t aBatch,
                       upstream::reply aReply,
                       clock::time_point aNow) = 0;

  /// A server's status; aAskedAt is when the question was sent.
  virtual void StatusArrived(const upstream::server_id& aServer,
                             const upstream::server_status& aStatus,
                             clock::time_point aAskedAt,
                             clock::time_point aNow) = 0;

  virtual void StatusFailed(const upstream::server_id& aServer,
                            clock::time_point aNow) = 0;

  /// Takes no new work from now on; what is under way ends as usual.
  virtual void Drain(clock::time_point aNow) = 0;

  /// Lets time pass: deadlines, timeouts, the next round of questions.
  virtual void Tick(clock::time_point aNow) = 0;

  /// When Tick is due at the latest.
  [[nodiscard]] virtual clock::time_point NextTick() const noexcept = 0;

  /// Requests and open transactions that have not ended.
  [[nodiscard]] virtual std::size_t Pending() const noexcept = 0;

  /// Hands over the actions since the last call, oldest first.
  [[nodiscard]] virtual std::vector<action> TakeActions() = 0;
};

/// Makes the engine of one group.
[[nodiscard]] std::unique_ptr<engine>
MakeEngine(const engine_settings& aSettings);

} // namespace currantshed::group

#endif

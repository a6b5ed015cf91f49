#ifndef CURRANTSHED_GROUP_FLOW_HPP
#define CURRANTSHED_GROUP_FLOW_HPP

#include <optional>
#include <variant>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/group/context.hpp"
#include "currantshed/group/request.hpp"
#include "currantshed/route/read_route.hpp"
#include "currantshed/upstream/statement.hpp"

namespace currantshed::group {

/// The request waits for a server to run its next batch.
struct requeue
{};

/// The request waits for the servers' word, asked for from now on.
struct await_status
{};

/// The request has its answer.
struct finish
{
  answer reply;
};

/// What a request does next.
using step = std::variant<requeue, await_status, finish>;

/// What becomes of the connection that a batch ran on.
enum class connection_fate
{
  /// It is clean, and free for others.
  kKeep,
  /// Its transaction must be rolled back before others use it.
  kRollBack,
  /// It stays with the transaction that is open on it.
  kPin,
  /// It is closed.
  kClose,
};

/// What follows from a reply.
struct reply_outcome
{
  step next;
  connection_fate fate = connection_fate::kClose;
};

/// Where a request is on its way.
enum class stage
{
  /// Waits for a server.
  kQueued,
  /// A batch is under way.
  kRunning,
  /// Waits for the servers' word.
  kAwaitingStatus,
};

/// The way of one request to its answer, as a state machine: the engine
/// gives it a server, a reply, news of the servers' words, or the end of its
/// time, and it tells what comes next.
class flow
{
public:
  flow(context& aContext, request aRequest, clock::time_point aNow);
  virtual ~flow() = default;
  flow(const flow&) = delete;
  flow& operator=(const flow&) = delete;

  /// Whether its next batch needs a connection that refuses changes.
  [[nodiscard]] virtual bool ReadOnly() const = 0;

  /// The connection that its next batch must run on; none when any will do.
  [[nodiscard]] virtual std::optional<connection_id> Pinned() const;

  /// Chooses the server for its next batch, where it isn't pinned.
  [[nodiscard]] virtual route::choice ChooseServer(
    const std::vector<route::candidate>& aCandidates,
    clock::time_point aNow) const = 0;

  /// No server can take it at present: its answer, or none to go on waiting.
  [[nodiscard]] virtual std::optional<answer> OnNoServer(
    outcome::reason aWhy,
    clock::time_point aNow);

  /// Its next batch, which is sent at once.
  [[nodiscard]] virtual std::vector<upstream::statement> Compose(
    const dispatch& aDispatch) = 0;

  /// Whether there is no sense in waiting for the reply to the batch under
  /// way. The connection is closed then, and the batch counts as torn.
  [[nodiscard]] virtual bool ShouldAbort(clock::time_point aNow) const;

  /// The batch under way has ended.
  [[nodiscard]] virtual reply_outcome Replied(upstream::reply aReply,
                                              clock::time_point aNow) = 0;

  /// News of the servers' words while it waits for them: what comes next, or
  /// none to go on waiting.
  [[nodiscard]] virtual std::optional<step> OnStatusUpdate(
    clock::time_point aNow);

  /// Whether it will need the servers' word, asked for since its batch was
  /// sent, when the batch ends.
  [[nodiscard]] virtual bool NeedsStatus() const;

  /// Its time is up.
  [[nodiscard]] virtual answer Expired(stage aStage) const = 0;

  [[nodiscard]] const request& Request() const noexcept;

protected:
  /// Whether it has waited for a primary or a replica for so long that the
  /// caller should rather come back: half of its time while a failover may be
  /// under way, and no more than the validity when there has been no primary
  /// for long.
  [[nodiscard]] bool HasWaitedTooLong(clock::time_point aNow) const;

  [[nodiscard]] clock::time_point Submitted() const noexcept;

  [[nodiscard]] context& Context() const noexcept;

private:
  context& mContext;
  request mRequest;
  clock::time_point mSubmitted;
};

} // namespace currantshed::group

#endif

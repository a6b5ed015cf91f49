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

/// The request waits for a server that can run its next batch.
struct requeue
{};

/// The request waits for server statuses requested from now on.
struct await_status
{};

/// The request is complete.
struct finish
{
  answer reply;
};

/// Next step of a request.
using step = std::variant<requeue, await_status, finish>;

/// What to do with the connection that a batch ran on.
enum class connection_fate
{
  /// Return it to the pool.
  kKeep,
  /// Roll its transaction back, then return it to the pool.
  kRollBack,
  /// Keep it assigned to the transaction that is open on it.
  kPin,
  /// Close it.
  kClose,
};

/// Result of processing a reply.
struct reply_outcome
{
  step next;
  connection_fate fate = connection_fate::kClose;
};

/// Processing stage of a request.
enum class stage
{
  /// Waits for a server that can run its next batch.
  kQueued,
  /// A batch has been sent and has not ended.
  kRunning,
  /// Waits for server statuses.
  kAwaitingStatus,
};

/// State machine that takes one request to its answer. The engine passes it a
/// server, a reply, a status update or the deadline, and it returns the next
/// step.
class flow
{
public:
  flow(context& aContext, request aRequest, clock::time_point aNow);
  virtual ~flow() = default;
  flow(const flow&) = delete;
  flow& operator=(const flow&) = delete;

  /// Whether the next batch needs a read-only connection.
  [[nodiscard]] virtual bool ReadOnly() const = 0;

  /// Connection that the next batch must run on; none if any will do.
  [[nodiscard]] virtual std::optional<connection_id> Pinned() const;

  /// Chooses the server for the next batch of a request that is not pinned to a
  /// connection.
  [[nodiscard]] virtual route::choice ChooseServer(
    const std::vector<route::candidate>& aCandidates,
    clock::time_point aNow) const = 0;

  /// Called when no server can run the request at present. Returns the final
  /// answer, or none to keep waiting.
  [[nodiscard]] virtual std::optional<answer> OnNoServer(
    outcome::reason aWhy,
    clock::time_point aNow);

  /// Returns the next batch, which is sent at once.
  [[nodiscard]] virtual std::vector<upstream::statement> Compose(
    const dispatch& aDispatch) = 0;

  /// Whether to stop waiting for the reply to the batch in progress. The
  /// connection is then closed and the batch counts as indeterminate.
  [[nodiscard]] virtual bool ShouldAbort(clock::time_point aNow) const;

  /// Processes the reply to the batch in progress.
  [[nodiscard]] virtual reply_outcome Replied(upstream::reply aReply,
                                              clock::time_point aNow) = 0;

  /// Processes a status update while the request waits for one. Returns the
  /// next step, or none to keep waiting.
  [[nodiscard]] virtual std::optional<step> OnStatusUpdate(
    clock::time_point aNow);

  /// Whether the request will need, when its batch ends, server statuses that
  /// were requested after the batch was sent.
  [[nodiscard]] virtual bool NeedsStatus() const;

  /// Returns the answer to a request whose deadline has passed.
  [[nodiscard]] virtual answer Expired(stage aStage) const = 0;

  [[nodiscard]] const request& Request() const noexcept;

protected:
  /// Whether the request has waited so long for a primary or a replica that the
  /// caller should retry later: half of its time while a failover may be in
  /// progress, and no longer than the validity if there has been no primary for
  /// long.
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

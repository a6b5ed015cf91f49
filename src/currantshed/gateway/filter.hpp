#ifndef CURRANTSHED_GATEWAY_FILTER_HPP
#define CURRANTSHED_GATEWAY_FILTER_HPP

#include <memory>

#include "currantshed/clock/time.hpp"
#include "currantshed/gateway/fwd.hpp"

namespace currantshed::gateway {

/// Where an exchange goes from a filter.
enum class step
{
  /// To the next filter on the way to the pooler.
  kForward,
  /// To the filter before, on the way to the caller.
  kBack,
  /// Nowhere: it waits for the pooler or for its due time.
  kWait,
};

/// One stage of the pipe between callers and poolers. Each exchange passes
/// the filters in order on its way to a pooler and in reverse order on its
/// way back. A filter that returns kBack from Forward, or kForward from Back,
/// turns the exchange round.
class filter
{
public:
  filter() = default;
  filter(const filter&) = delete;
  filter& operator=(const filter&) = delete;
  virtual ~filter() = default;

  /// Handles an exchange on its way to a pooler. Passes it on where a filter
  /// has nothing to do.
  virtual step Forward(exchange& aExchange, clock::time_point aNow);

  /// Handles an exchange on its way to the caller. Passes it on where a
  /// filter has nothing to do.
  virtual step Back(exchange& aExchange, clock::time_point aNow);
};

/// Signs the session's new token into the answer.
[[nodiscard]] std::unique_ptr<filter>
MakeSignToken(shared_state& aState);

/// Verifies the session's token.
[[nodiscard]] std::unique_ptr<filter>
MakeVerifyToken(shared_state& aState);

/// Finds class, group, key, transaction and deadline, and checks each.
[[nodiscard]] std::unique_ptr<filter>
MakeClassify(shared_state& aState);

/// Bounds what is in flight, by class and in all.
[[nodiscard]] std::unique_ptr<filter>
MakeAdmit(shared_state& aState);

/// Turns what came of the request into the caller's answer, and resolves
/// doubt.
[[nodiscard]] std::unique_ptr<filter>
MakeOutcome(shared_state& aState);

/// Holds back an acknowledgement whose confirmation is too old.
[[nodiscard]] std::unique_ptr<filter>
MakeConfirm(shared_state& aState);

/// Chooses the pooler and sends.
[[nodiscard]] std::unique_ptr<filter>
MakeRoute(shared_state& aState);

} // namespace currantshed::gateway

#endif

#ifndef CURRANTSHED_GATEWAY_FILTER_HPP
#define CURRANTSHED_GATEWAY_FILTER_HPP

#include <memory>

#include "currantshed/clock/time.hpp"
#include "currantshed/gateway/fwd.hpp"

namespace currantshed::gateway {

/// Direction in which an exchange leaves a filter.
enum class step
{
  /// To the next filter, towards the pooler.
  kForward,
  /// To the previous filter, towards the caller.
  kBack,
  /// The exchange waits for the pooler or for its due time.
  kWait,
};

/// One stage of the pipeline between callers and poolers. An exchange passes
/// the filters in order on its way to a pooler and in reverse order on its way
/// back. A filter that returns kBack from Forward, or kForward from Back,
/// reverses the direction.
class filter
{
public:
  filter() = default;
  filter(const filter&) = delete;
  filter& operator=(const filter&) = delete;
  virtual ~filter() = default;

  /// Handles an exchange on its way to a pooler. The default passes it on.
  virtual step Forward(exchange& aExchange, clock::time_point aNow);

  /// Handles an exchange on its way to the caller. The default passes it on.
  virtual step Back(exchange& aExchange, clock::time_point aNow);
};

/// Adds the signed new session token to the response.
[[nodiscard]] std::unique_ptr<filter>
MakeSignToken(shared_state& aState);

/// Verifies the session token.
[[nodiscard]] std::unique_ptr<filter>
MakeVerifyToken(shared_state& aState);

/// Determines and validates class, group, key, transaction and deadline.
[[nodiscard]] std::unique_ptr<filter>
MakeClassify(shared_state& aState);

/// Limits requests in flight, per class and in total.
[[nodiscard]] std::unique_ptr<filter>
MakeAdmit(shared_state& aState);

/// Converts replies and failures into the caller's response, and resolves
/// unknown outcomes.
[[nodiscard]] std::unique_ptr<filter>
MakeOutcome(shared_state& aState);

/// Delays the acknowledgement of a change until a sufficiently recent
/// confirmation exists.
[[nodiscard]] std::unique_ptr<filter>
MakeConfirm(shared_state& aState);

/// Selects a pooler and sends the request to it.
[[nodiscard]] std::unique_ptr<filter>
MakeRoute(shared_state& aState);

} // namespace currantshed::gateway

#endif

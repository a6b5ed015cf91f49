#ifndef CURRANTSHED_CUSTOMER_OPERATION_TOKEN_HPP
#define CURRANTSHED_CUSTOMER_OPERATION_TOKEN_HPP

#include <optional>

#include "currantshed/clock/time.hpp"

namespace currantshed::customer {

/// Whether an operation may be sent to a server under its customer's quota.
/// A token permits one send shortly after it was requested: a coordinator
/// counts it as used by then. An operation that waits for longer, as while its
/// primary is being replaced, or that is sent again after a server may have run
/// it, needs another token. Answers load that was held up and would otherwise
/// be sent at once. Does not read the clock.
class operation_token
{
public:
  /// From now on the operation needs a token.
  void Require() noexcept { mIsRequired = true; }

  /// Assigns a token that was requested at that time.
  void Grant(clock::time_point aAskedAt) noexcept;

  /// Whether the operation may be sent now.
  [[nodiscard]] bool PermitsSend(clock::time_point aNow) const noexcept;

  /// Whether it had a token before, so that it needs a further one only because
  /// that has expired or was used.
  [[nodiscard]] bool HadToken() const noexcept { return mAskedAt.has_value(); }

  /// Whether the token was used: the operation may have reached a server.
  [[nodiscard]] bool IsUsed() const noexcept { return mIsUsed; }

  void OnSent() noexcept { mIsUsed = true; }

  /// A server has rejected the operation without running it: the token is
  /// unused again.
  void OnNotRun() noexcept { mIsUsed = false; }

  /// The operation has ended. Returns when its token was requested, if that is
  /// unused; only once.
  [[nodiscard]] std::optional<clock::time_point> TakeUnused() noexcept;

private:
  bool mIsRequired = false;
  bool mIsUsed = false;
  std::optional<clock::time_point> mAskedAt;
};

} // namespace currantshed::customer

#endif

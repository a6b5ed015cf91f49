#include "currantshed/customer/operation_token.hpp"

#include <utility>

#include "currantshed/customer/token_cache.hpp"

namespace currantshed::customer {

void
operation_token::Grant(clock::time_point aAskedAt) noexcept
{
  mAskedAt = aAskedAt;
  mIsUsed = false;
}

bool
operation_token::PermitsSend(clock::time_point aNow) const noexcept
{
  return !mIsRequired ||
         (mAskedAt && !mIsUsed && aNow < *mAskedAt + kTokenLifetime);
}

std::optional<clock::time_point>
operation_token::TakeUnused() noexcept
{
  const auto askedAt = std::exchange(mAskedAt, std::nullopt);
  return mIsUsed ? std::nullopt : askedAt;
}

} // namespace currantshed::customer

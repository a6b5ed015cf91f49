#include "currantshed/ctl/blocking_platform.hpp"

#include <utility>

namespace currantshed::ctl {

blocking_platform::blocking_platform(platform::client& aClient, turn aTurn)
  : mClient(aClient)
  , mTurn(std::move(aTurn))
{
}

platform_result<platform::entry>
blocking_platform::Get(const std::string& aKey)
{
  std::optional<platform_result<platform::entry>> result;
  mClient.Get(aKey, [&result](std::error_code aError, platform::entry aEntry) {
    result = { aError, std::move(aEntry) };
  });
  while (!result) {
    mTurn();
  }
  return std::move(*result);
}

platform::swap_outcome
blocking_platform::Swap(const std::string& aKey,
                        const std::string& aValue,
                        platform::index aExpected)
{
  std::optional<platform::swap_outcome> result;
  mClient.Swap(
    aKey, aValue, aExpected, [&result](platform::swap_outcome aOutcome) {
      result = aOutcome;
    });
  while (!result) {
    mTurn();
  }
  return *result;
}

platform_result<platform::listing>
blocking_platform::List()
{
  std::optional<platform_result<platform::listing>> result;
  mClient.List([&result](std::error_code aError, platform::listing aListing) {
    result = { aError, std::move(aListing) };
  });
  while (!result) {
    mTurn();
  }
  return std::move(*result);
}

} // namespace currantshed::ctl

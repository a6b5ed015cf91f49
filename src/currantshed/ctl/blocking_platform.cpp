#include "currantshed/ctl/blocking_platform.hpp"

#include <utility>

namespace currantshed::ctl {

blocking_platform::blocking_platform(store::client& aClient,
                                     poll_function aPoll)
  : mClient(aClient)
  , mPoll(std::move(aPoll))
{
}

platform_result<store::entry>
blocking_platform::Get(const std::string& aKey)
{
  std::optional<platform_result<store::entry>> result;
  mClient.Get(aKey, [&result](std::error_code aError, store::entry aEntry) {
    result = { aError, std::move(aEntry) };
  });
  while (!result) {
    mPoll();
  }
  return std::move(*result);
}

store::swap_outcome
blocking_platform::Swap(const std::string& aKey,
                        const std::string& aValue,
                        store::index aExpected)
{
  std::optional<store::swap_outcome> result;
  mClient.Swap(aKey,
               aValue,
               aExpected,
               [&result](store::swap_outcome aOutcome) { result = aOutcome; });
  while (!result) {
    mPoll();
  }
  return *result;
}

platform_result<store::listing>
blocking_platform::List()
{
  std::optional<platform_result<store::listing>> result;
  mClient.List([&result](std::error_code aError, store::listing aListing) {
    result = { aError, std::move(aListing) };
  });
  while (!result) {
    mPoll();
  }
  return std::move(*result);
}

} // namespace currantshed::ctl

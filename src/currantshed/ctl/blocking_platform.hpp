#ifndef CURRANTSHED_CTL_BLOCKING_PLATFORM_HPP
#define CURRANTSHED_CTL_BLOCKING_PLATFORM_HPP

#include <functional>
#include <optional>
#include <string>
#include <system_error>

#include "currantshed/ctl/fwd.hpp"
#include "currantshed/store/client.hpp"

namespace currantshed::ctl {

/// A result from the platform, or an error.
template<typename value_type>
struct platform_result
{
  std::error_code error;
  value_type value;
};

/// Blocking calls to the platform, for single-threaded tools. The given
/// function runs the client's event loop once and may execute callbacks.
class blocking_platform
{
public:
  using poll_function = std::function<void()>;

  blocking_platform(store::client& aClient, poll_function aPoll);

  [[nodiscard]] platform_result<store::entry> Get(const std::string& aKey);

  [[nodiscard]] store::swap_outcome Swap(const std::string& aKey,
                                         const std::string& aValue,
                                         store::index aExpected);

  [[nodiscard]] platform_result<store::listing> List();

private:
  store::client& mClient;
  poll_function mPoll;
};

} // namespace currantshed::ctl

#endif

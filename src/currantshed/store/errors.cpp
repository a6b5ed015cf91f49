#include "currantshed/store/errors.hpp"

#include <string>

namespace currantshed::store {

namespace {

class platform_category final : public std::error_category
{
public:
  [[nodiscard]] const char* name() const noexcept override
  {
    return "currantshed.platform";
  }

  [[nodiscard]] std::string message(int aValue) const override
  {
    switch (static_cast<errc>(aValue)) {
      case errc::kUnreachable:
        return "the platform can't be reached";
      case errc::kTimeout:
        return "the platform didn't answer in time";
      case errc::kUnavailable:
        return "the platform can't serve at the moment";
      case errc::kRateLimited:
        return "too many calls to the platform";
      case errc::kRejected:
        return "the platform refused the call";
      case errc::kTooLarge:
        return "the platform's answer is too large";
      case errc::kIncomplete:
        return "the platform's answer broke off";
      case errc::kMalformed:
        return "the platform's answer is malformed";
      case errc::kLeaseNotFound:
        return "the lease has ended";
      case errc::kHistoryCompacted:
        return "the store keeps these changes no longer";
      case errc::kStaleEra:
        return "the store has come back from an older copy since";
    }
    return "unknown platform error";
  }
};

} // namespace

const std::error_category&
StoreCategory() noexcept
{
  static const platform_category sCategory;
  return sCategory;
}

std::error_code
make_error_code(errc aError) noexcept
{
  return { static_cast<int>(aError), StoreCategory() };
}

} // namespace currantshed::store

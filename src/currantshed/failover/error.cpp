#include "currantshed/failover/error.hpp"

#include <string>

namespace currantshed::failover {

namespace {

class failover_category final : public std::error_category
{
public:
  [[nodiscard]] const char* name() const noexcept override
  {
    return "failover";
  }

  [[nodiscard]] std::string message(int aValue) const override
  {
    switch (static_cast<record_error>(aValue)) {
      case record_error::kNotJson:
        return "term record is not a JSON object";
      case record_error::kWrongField:
        return "field of the term record is missing or of another type";
      case record_error::kTooLarge:
        return "term record is too large";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category&
FailoverCategory() noexcept
{
  static const failover_category sCategory;
  return sCategory;
}

std::error_code
make_error_code(record_error aError) noexcept
{
  return { static_cast<int>(aError), FailoverCategory() };
}

} // namespace currantshed::failover

#include "currantshed/wire/errors.hpp"

#include <string>

namespace currantshed::wire {

namespace {

class wire_category final : public std::error_category
{
public:
  [[nodiscard]] const char* name() const noexcept override { return "wire"; }

  [[nodiscard]] std::string message(int aValue) const override
  {
    switch (static_cast<wire_errc>(aValue)) {
      case wire_errc::kMalformed:
        return "malformed message";
      case wire_errc::kTooLarge:
        return "message over its size bound";
      case wire_errc::kOutOfRange:
        return "value out of range in message";
      case wire_errc::kInvalidKey:
        return "idempotency key is not a version 7 UUID";
    }
    return "unknown wire error";
  }
};

} // namespace

const std::error_category&
WireCategory() noexcept
{
  static const wire_category sCategory;
  return sCategory;
}

std::error_code
make_error_code(wire_errc aCode) noexcept
{
  return { static_cast<int>(aCode), WireCategory() };
}

} // namespace currantshed::wire

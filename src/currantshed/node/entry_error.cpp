#include "currantshed/node/entry_error.hpp"

#include <string>

namespace currantshed::node {

namespace {

class category final : public std::error_category
{
public:
  [[nodiscard]] const char* name() const noexcept override
  {
    return "server_entry";
  }

  [[nodiscard]] std::string message(int aValue) const override
  {
    switch (static_cast<entry_errc>(aValue)) {
      case entry_errc::kNoId:
        return "no_id";
      case entry_errc::kTooLong:
        return "too_long";
      case entry_errc::kUnreadable:
        return "unreadable";
      case entry_errc::kFieldMissing:
        return "field_missing";
      case entry_errc::kFieldWrong:
        return "field_wrong";
      case entry_errc::kUnknownState:
        return "unknown_state";
      case entry_errc::kUnknownService:
        return "unknown_service";
    }
    return "unknown";
  }
};

} // namespace

const std::error_category&
EntryCategory() noexcept
{
  static const category sCategory;
  return sCategory;
}

std::error_code
make_error_code(entry_errc aError) noexcept
{
  return { static_cast<int>(aError), EntryCategory() };
}

} // namespace currantshed::node

#include "currantshed/session/error.hpp"

#include <string>

namespace currantshed::session {

namespace {

class session_error_category final : public std::error_category
{
public:
  [[nodiscard]] const char* name() const noexcept override { return "session"; }

  [[nodiscard]] std::string message(int aValue) const override
  {
    switch (static_cast<session_error>(aValue)) {
      case session_error::kMalformed:
        return "the text is malformed";
      case session_error::kUntrusted:
        return "the text was sealed by an unknown key or for another purpose";
      case session_error::kBadSignature:
        return "the seal does not fit the content";
      case session_error::kUnknownVersion:
        return "the text is of an unknown version";
      case session_error::kInvalidKeyRing:
        return "keys must be given as id:hexadecimal,... with 16 to 64 bytes "
               "each and every id once";
    }
    return "unknown session error";
  }
};

} // namespace

const std::error_category&
SessionCategory() noexcept
{
  static const session_error_category sCategory;
  return sCategory;
}

std::error_code
make_error_code(session_error aError) noexcept
{
  return { static_cast<int>(aError), SessionCategory() };
}

} // namespace currantshed::session

#include "currantshed/upstream/errors.hpp"

#include <string>

namespace currantshed::upstream {

namespace {

// The text that PostgreSQL sends with SQLSTATE 53300.
constexpr std::string_view kTooManyConnectionsText = "too many";

class upstream_category final : public std::error_category
{
public:
  [[nodiscard]] const char* name() const noexcept override
  {
    return "currantshed.upstream";
  }

  [[nodiscard]] std::string message(int aValue) const override
  {
    switch (static_cast<errc>(aValue)) {
      case errc::kConnectFailed:
        return "the server could not be reached or refused the connection";
      case errc::kTooManyConnections:
        return "the server accepts no further connection";
      case errc::kConnectTimeout:
        return "the server did not accept the connection in time";
      case errc::kConnectionLost:
        return "the connection broke";
      case errc::kAnswerTooLarge:
        return "the answer passed the limit on its size";
      case errc::kProtocol:
        return "the server did not keep to the protocol";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category&
UpstreamCategory() noexcept
{
  static const upstream_category sCategory;
  return sCategory;
}

std::error_code
make_error_code(errc aError) noexcept
{
  return { static_cast<int>(aError), UpstreamCategory() };
}

std::error_code
ClassifyConnectionError(std::string_view aMessage, bool aWasOpen) noexcept
{
  if (aWasOpen) {
    return errc::kConnectionLost;
  }
  if (aMessage.find(kTooManyConnectionsText) != std::string_view::npos) {
    return errc::kTooManyConnections;
  }
  return errc::kConnectFailed;
}

} // namespace currantshed::upstream

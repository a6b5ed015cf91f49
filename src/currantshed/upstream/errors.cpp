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
        return "server unreachable or connection rejected";
      case errc::kTooManyConnections:
        return "server is at its connection limit";
      case errc::kConnectTimeout:
        return "connection attempt timed out";
      case errc::kConnectionLost:
        return "connection lost";
      case errc::kAnswerTooLarge:
        return "answer exceeds its size limit";
      case errc::kProtocol:
        return "protocol violation by the server";
    }
    return "unknown upstream error";
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

#include "currantshed/ctl/gateway_port.hpp"

#include <limits>

#include <absl/strings/numbers.h>

namespace currantshed::ctl {

std::optional<gateway_port>
ParseGatewayPort(const std::string& aText)
{
  const bool isOffset = !aText.empty() && aText.front() == '+';
  const std::string digits = aText.substr(isOffset ? 1 : 0);
  if (digits.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  unsigned number = 0;
  const bool isNumber = absl::SimpleAtoi(digits, &number);
  if (!isNumber || number == 0 ||
      number > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  return gateway_port{ static_cast<std::uint16_t>(number), isOffset };
}

std::uint16_t
GatewayPortOf(const store::vm& aVm, const gateway_port& aPort)
{
  const unsigned base = aPort.isOffset ? aVm.statusPort : 0;
  return static_cast<std::uint16_t>(base + aPort.number);
}

} // namespace currantshed::ctl

#ifndef CURRANTSHED_LOAD_CONTROL_HPP
#define CURRANTSHED_LOAD_CONTROL_HPP

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "currantshed/load/history.hpp"
#include "currantshed/load/shape.hpp"

namespace currantshed::load {

/// Speaks with the stand-ins' control ports, which no fault touches: finds
/// primaries, orders faults and reads what servers hold. Calls block, each at
/// most some seconds.
class control
{
public:
  explicit control(std::vector<shape_upstream> aServers);

  /// The server that is primary in the group's highest term, or none.
  [[nodiscard]] std::optional<shape_upstream> Primary(
    const std::string& aGroup) const;

  /// Orders faults of one server, given as a query: "cut=all".
  [[nodiscard]] bool Fault(const shape_upstream& aServer,
                           const std::string& aQuery) const;

  /// What the group's primary holds, waiting for a primary at most for the
  /// time given; none when that fails.
  [[nodiscard]] std::optional<group_contents> ReadContents(
    const std::string& aGroup,
    std::chrono::milliseconds aTimeout) const;

private:
  std::vector<shape_upstream> mServers;
};

} // namespace currantshed::load

#endif

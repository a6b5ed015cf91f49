#ifndef CURRANTSHED_LOAD_CONTROL_HPP
#define CURRANTSHED_LOAD_CONTROL_HPP

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "currantshed/load/history.hpp"
#include "currantshed/load/shape.hpp"

namespace currantshed::load {

/// Client of the control ports of the stand-in servers, which are not affected
/// by injected faults: finds primaries, injects faults and reads the contents
/// of servers. Calls block for a few seconds at most.
class control
{
public:
  explicit control(std::vector<shape_upstream> aServers);

  /// The server that is primary in the highest term of the group, if any.
  [[nodiscard]] std::optional<shape_upstream> Primary(
    const std::string& aGroup) const;

  /// Injects faults into a server; the query has the form "cut=all".
  [[nodiscard]] bool Fault(const shape_upstream& aServer,
                           const std::string& aQuery) const;

  /// Reads the contents of the group's primary, waiting for a primary up to the
  /// timeout; none on failure.
  [[nodiscard]] std::optional<group_contents> ReadContents(
    const std::string& aGroup,
    std::chrono::milliseconds aTimeout) const;

private:
  std::vector<shape_upstream> mServers;
};

} // namespace currantshed::load

#endif

#ifndef CURRANTSHED_LOAD_SHAPE_HPP
#define CURRANTSHED_LOAD_SHAPE_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "currantshed/load/fwd.hpp"

namespace currantshed::load {

/// One VM of a deployment.
struct shape_vm
{
  std::string id;
  std::string address;
  std::string failureDomain;
  std::uint16_t requestPort = 0;
  std::uint16_t peerPort = 0;
  std::uint16_t statusPort = 0;
  std::uint16_t callerPort = 0;
};

/// A database server of a deployment's stand-ins.
struct shape_upstream
{
  std::string id;
  std::string group;
  std::string address;
  std::uint16_t port = 0;
  std::uint16_t controlPort = 0;
  std::string failureDomain;
  unsigned slots = 0;
  unsigned connections = 0;
};

/// A deployment as described by its shape file.
struct shape
{
  std::string name;
  /// Path of the declaration.
  std::string declaration;
  std::string platformAddress;
  std::uint16_t platformPort = 0;
  std::chrono::microseconds betweenFailureDomains{ 0 };
  std::chrono::milliseconds connectDelay{ 0 };
  std::vector<shape_vm> vms;
  std::vector<shape_upstream> upstreams;
};

/// Parses a shape. On an error, the shape is unchanged and aFault describes the
/// error.
[[nodiscard]] bool
ParseShape(std::string_view aJson, shape& aShape, std::string& aFault);

/// Unique names of the groups, sorted.
[[nodiscard]] std::vector<std::string>
GroupsOf(const shape& aShape);

/// Formats each part as one line of words for shell scripts.
[[nodiscard]] std::string
ShellLines(const shape& aShape);

} // namespace currantshed::load

#endif

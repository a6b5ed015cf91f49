#ifndef CURRANTSHED_STANDIN_PLATFORM_SHAPE_HPP
#define CURRANTSHED_STANDIN_PLATFORM_SHAPE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace currantshed::standin {

/// One VM of this system, as listed by the platform.
struct vm_entry
{
  std::string id;
  std::string address;
  std::string failureDomain;
  std::uint16_t requestPort = 0;
  std::uint16_t peerPort = 0;
  std::uint16_t statusPort = 0;
  bool leaving = false;
  /// Omitted from the list.
  bool gone = false;
};

/// One database server, as listed by the platform.
struct upstream_entry
{
  std::string id;
  std::string group;
  std::string address;
  std::uint16_t port = 0;
  std::string failureDomain;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  bool leaving = false;
};

/// All lists of the platform.
struct catalog_content
{
  std::vector<vm_entry> vms;
  std::vector<upstream_entry> upstreams;
};

/// Parses the lists of a shape file (see shapes/). On error sets aFault and
/// leaves the content unchanged.
[[nodiscard]] bool
ParseShape(std::string_view aJson,
           catalog_content& aContent,
           std::string& aFault);

/// Reads and parses a shape file.
[[nodiscard]] bool
LoadShape(const std::string& aPath,
          catalog_content& aContent,
          std::string& aFault);

} // namespace currantshed::standin

#endif

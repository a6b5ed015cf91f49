#ifndef CURRANTSHED_GATEWAY_VIEW_HPP
#define CURRANTSHED_GATEWAY_VIEW_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "currantshed/gateway/fwd.hpp"
#include "currantshed/group/fwd.hpp"
#include "currantshed/policy/work_class.hpp"
#include "currantshed/store/client.hpp"

namespace currantshed::gateway {

/// The gateway's view of the cluster, as provided by the pooler of its own VM.
struct fleet_view
{
  std::uint64_t version = 0;
  /// VMs whose poolers are considered live.
  std::vector<store::vm> live;
  /// Groups that the platform lists.
  std::vector<group::group_name> groups;
  /// Number of poolers that own each group.
  unsigned owners = 0;
};

/// The part of the operators' declaration that a gateway uses.
struct class_rules
{
  /// Zero if there is no configuration yet.
  std::uint64_t version = 0;
  std::vector<policy::work_class> classes;
};

} // namespace currantshed::gateway

#endif

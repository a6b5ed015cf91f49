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

/// What a gateway knows of the others, as the pooler of its own VM gives it.
struct fleet_view
{
  std::uint64_t version = 0;
  /// VMs whose poolers are taken for live.
  std::vector<store::vm> live;
  /// Groups that the platform lists.
  std::vector<group::group_name> groups;
  /// Poolers that own each group.
  unsigned owners = 0;
};

/// The operators' declaration, as far as a gateway needs it.
struct class_rules
{
  /// Zero stands for none yet.
  std::uint64_t version = 0;
  std::vector<policy::work_class> classes;
};

} // namespace currantshed::gateway

#endif

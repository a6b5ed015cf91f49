#ifndef CURRANTSHED_GATEWAY_POOLER_HEALTH_HPP
#define CURRANTSHED_GATEWAY_POOLER_HEALTH_HPP

#include <string>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/gateway/fwd.hpp"
#include "currantshed/group/fwd.hpp"

namespace currantshed::gateway {

/// What one engine has found out about the poolers by its own requests.
/// Only steers the choice among owners; being wrong costs speed.
class pooler_health
{
public:
  /// An answer came from the VM's pooler, so it isn't suspect any more.
  void RecordReply(const std::string& aVm, clock::time_point aNow);

  /// When the VM's pooler last answered; the clock's epoch if never.
  [[nodiscard]] clock::time_point LastReplyAt(const std::string& aVm) const;

  /// Passes the VM's pooler over until the given time, where another owner
  /// is left.
  void MarkSuspect(const std::string& aVm, clock::time_point aUntil);

  /// The same for one group: its primary can't be reached from there.
  void MarkSuspectForGroup(const group::group_name& aGroup,
                           const std::string& aVm,
                           clock::time_point aUntil);

  /// Whether the VM's pooler is passed over for a group.
  [[nodiscard]] bool IsSuspect(const group::group_name& aGroup,
                               const std::string& aVm,
                               clock::time_point aNow) const;

private:
  struct pooler_record
  {
    clock::time_point lastReplyAt;
    clock::time_point suspectUntil;
  };

  using group_vm = std::pair<group::group_name, std::string>;

  absl::flat_hash_map<std::string, pooler_record> mPoolers;
  absl::flat_hash_map<group_vm, clock::time_point> mGroupSuspects;
};

} // namespace currantshed::gateway

#endif

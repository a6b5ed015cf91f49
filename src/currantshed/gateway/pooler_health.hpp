#ifndef CURRANTSHED_GATEWAY_POOLER_HEALTH_HPP
#define CURRANTSHED_GATEWAY_POOLER_HEALTH_HPP

#include <string>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/gateway/fwd.hpp"
#include "currantshed/group/fwd.hpp"

namespace currantshed::gateway {

/// Health of the poolers as observed through one engine's own requests. It only
/// affects the order in which owners are tried; a wrong entry costs latency,
/// not correctness.
class pooler_health
{
public:
  /// Records a reply from the VM's pooler and clears the suspicion against it.
  void RecordReply(const std::string& aVm, clock::time_point aNow);

  /// When the VM's pooler last replied; the clock's epoch if never.
  [[nodiscard]] clock::time_point LastReplyAt(const std::string& aVm) const;

  /// Treats the VM's pooler as suspect until the given time, so that other
  /// owners are preferred.
  void MarkSuspect(const std::string& aVm, clock::time_point aUntil);

  /// Like MarkSuspect, but for one group only, whose primary the VM can't
  /// reach.
  void MarkSuspectForGroup(const group::group_name& aGroup,
                           const std::string& aVm,
                           clock::time_point aUntil);

  /// Whether the VM's pooler is suspect for a group.
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

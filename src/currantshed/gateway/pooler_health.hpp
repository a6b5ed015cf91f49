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
  void Heard(const std::string& aVm, clock::time_point aNow);

  /// When the VM's pooler last answered; the clock's epoch if never.
  [[nodiscard]] clock::time_point LastHeard(const std::string& aVm) const;

  /// Passes the VM's pooler over until the given time, where another owner
  /// is left.
  void Suspect(const std::string& aVm, clock::time_point aUntil);

  /// The same for one group: its primary can't be reached from there.
  void SuspectFor(const group::group_name& aGroup,
                  const std::string& aVm,
                  clock::time_point aUntil);

  /// Whether the VM's pooler is passed over for a group.
  [[nodiscard]] bool Suspected(const group::group_name& aGroup,
                               const std::string& aVm,
                               clock::time_point aNow) const;

private:
  struct word
  {
    clock::time_point heard;
    clock::time_point suspectUntil;
  };

  using place = std::pair<group::group_name, std::string>;

  absl::flat_hash_map<std::string, word> mWords;
  absl::flat_hash_map<place, clock::time_point> mCutOff;
};

} // namespace currantshed::gateway

#endif

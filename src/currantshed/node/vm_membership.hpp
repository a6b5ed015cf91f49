#ifndef CURRANTSHED_NODE_VM_MEMBERSHIP_HPP
#define CURRANTSHED_NODE_VM_MEMBERSHIP_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/functional/function_ref.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/news/exchange.hpp"

namespace currantshed::node {

/// The other VMs, according to the store's list and to the messages that they
/// send. A VM that is cut off from the store loses its registration but goes on
/// serving callers: it still gets watch updates and must still acknowledge
/// revoked terms. Does not read the clock.
class vm_membership
{
public:
  /// How long a VM that was listed or heard may still use a confirmation,
  /// whatever the store says of it: its key may have been removed unnoticed.
  static constexpr std::chrono::milliseconds kRetention{ 15000 };

  explicit vm_membership(std::string aSelf);

  /// Applies the list of the store.
  void SetListed(const std::vector<news::peer>& aVms, clock::time_point aNow);

  /// Records that the store, read later than the list, lists the VM.
  void MarkSeen(const std::string& aVm, clock::time_point aNow);

  /// Records a message of the VM, listed or not.
  void OnMessage(const std::string& aVm, clock::time_point aNow);

  /// Records a reach update that the VM has sent directly to this one, for
  /// which it expects watch updates.
  void OnDirectReachUpdate(const std::string& aVm, clock::time_point aNow);

  /// The VMs that can be sent to: those that are listed, and those that were
  /// heard recently and whose address is known.
  [[nodiscard]] std::vector<news::peer> Reachable(clock::time_point aNow) const;

  /// Visits the reachable VMs without copying them.
  void ForEachReachable(
    clock::time_point aNow,
    absl::FunctionRef<void(const news::peer&)> aVisit) const;

  /// Number of reachable VMs.
  [[nodiscard]] std::size_t CountReachable(clock::time_point aNow) const;

  /// The reachable VMs that were heard recently.
  [[nodiscard]] std::vector<news::peer> RecentlyHeard(
    clock::time_point aNow) const;

  /// Whether the VM was heard recently.
  [[nodiscard]] bool IsRecentlyHeard(const std::string& aVm,
                                     clock::time_point aNow) const;

  /// Whether the VM has recently sent a reach update directly to this one, for
  /// which it expects watch updates.
  [[nodiscard]] bool SendsDirectReachUpdates(const std::string& aVm,
                                             clock::time_point aNow) const;

  /// The VMs that may use a confirmation of a primary: all that are listed, or
  /// were listed or heard within the retention time.
  [[nodiscard]] std::vector<std::string> MayUseConfirmation(
    clock::time_point aNow) const;

private:
  struct member
  {
    std::optional<news::peer> where;
    bool isListed = false;
    // When the VM was last listed or heard.
    clock::time_point seenAt;
    std::optional<clock::time_point> heardAt;
    std::optional<clock::time_point> askedAt;

    [[nodiscard]] bool IsRecentlyHeard(clock::time_point aNow) const;
  };

  std::string mSelf;
  absl::btree_map<std::string, member> mVms;
};

} // namespace currantshed::node

#endif

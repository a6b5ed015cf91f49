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

/// The other VMs, as the store lists them and as they speak up themselves. A VM
/// whose way to the store is cut loses its key while it goes on serving: it is
/// still told who leads, and still asked to give up a term. Asks for no time.
class vm_membership
{
public:
  /// A VM that was listed or heard this lately may still rest on a proof,
  /// whatever the store says of it: its key may have been taken away unseen.
  static constexpr std::chrono::milliseconds kRetention{ 15000 };

  explicit vm_membership(std::string aSelf);

  /// The VMs that the store lists now.
  void Listed(const std::vector<news::peer>& aVms, clock::time_point aNow);

  /// A VM stands in the store by a reading newer than the list.
  void Seen(const std::string& aVm, clock::time_point aNow);

  /// A VM has spoken, listed or not.
  void OnMessage(const std::string& aVm, clock::time_point aNow);

  /// A VM has told this one something that it expects words for.
  void OnDirectReachUpdate(const std::string& aVm, clock::time_point aNow);

  /// The VMs that can be told something: those that are listed, and those that
  /// spoke a moment ago and whose address is known.
  [[nodiscard]] std::vector<news::peer> Reachable(clock::time_point aNow) const;

  /// The same one by one, without a copy of all.
  void ForEachReachable(
    clock::time_point aNow,
    absl::FunctionRef<void(const news::peer&)> aVisit) const;

  /// How many they are.
  [[nodiscard]] std::size_t CountReachable(clock::time_point aNow) const;

  /// Those of them that spoke a moment ago.
  [[nodiscard]] std::vector<news::peer> RecentlyHeard(
    clock::time_point aNow) const;

  /// Whether the VM spoke a moment ago.
  [[nodiscard]] bool IsRecentlyHeard(const std::string& aVm,
                                     clock::time_point aNow) const;

  /// Whether it told something a moment ago that it expects words for.
  [[nodiscard]] bool SendsDirectReachUpdates(const std::string& aVm,
                                             clock::time_point aNow) const;

  /// The VMs that may rest on a proof of a primary: all that are listed, or
  /// were listed or heard lately.
  [[nodiscard]] std::vector<std::string> MayUseConfirmation(
    clock::time_point aNow) const;

private:
  struct known_vm
  {
    std::optional<news::peer> where;
    bool isListed = false;
    // When it was last listed or heard.
    clock::time_point seenAt;
    std::optional<clock::time_point> heardAt;
    std::optional<clock::time_point> askedAt;

    [[nodiscard]] bool IsRecentlyHeard(clock::time_point aNow) const;
  };

  std::string mSelf;
  absl::btree_map<std::string, known_vm> mVms;
};

} // namespace currantshed::node

#endif

#ifndef CURRANTSHED_NODE_CLUSTER_STATE_HPP
#define CURRANTSHED_NODE_CLUSTER_STATE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/news/exchange.hpp"
#include "currantshed/position/log_position.hpp"
#include "currantshed/store/prefix_view.hpp"

namespace currantshed::node {

/// Where this system keeps its own keys in the store.
constexpr std::string_view kClusterPrefix = "currantshed/";

/// What a VM writes about itself.
struct vm_record
{
  news::peer where;
  /// Port for statements that it relays.
  std::uint16_t relayPort = 0;
  std::string failureDomain;
  std::uint64_t incarnation = 0;
  /// Processor time that it has, in thousandths of a core.
  unsigned cpuMillicores = 0;
  /// Stops soon: takes no duty.
  bool leaving = false;

  [[nodiscard]] friend bool operator==(const vm_record&,
                                       const vm_record&) = default;
};

/// Who may change the primary of a group.
struct failover_lock
{
  std::string holder;
  std::uint64_t incarnation = 0;
  /// Fencing token: goes up with each change of the holder.
  std::uint64_t epoch = 0;
  /// The newest term of the group that a holder has had replaced, or is about
  /// to; no proof of it may be believed.
  position::term_id replacedTerm = 0;
};

[[nodiscard]] std::string
VmKey(const std::string& aVm);
[[nodiscard]] std::string
FailoverLockKey(const std::string& aService);

/// Where it is recorded which VMs there are, whether they run or not. VMs that
/// start, all at once after a loss of power, share the servers' connections by
/// it until the others are listed again.
[[nodiscard]] std::string
FleetKey();

[[nodiscard]] std::string
SerializeFleet(const std::vector<vm_record>& aFleet);
[[nodiscard]] std::optional<std::vector<vm_record>>
ParseFleet(const store::item& aItem);

/// Whether both name the same VMs at the same places, in the same order; lives
/// may differ.
[[nodiscard]] bool
IsSameFleet(const std::vector<vm_record>& aLeft,
            const std::vector<vm_record>& aRight);

[[nodiscard]] std::string
SerializeVm(const vm_record& aRecord);
[[nodiscard]] std::optional<vm_record>
ParseVm(const store::item& aItem);

[[nodiscard]] std::string
SerializeFailoverLock(const failover_lock& aRecord);
[[nodiscard]] std::optional<failover_lock>
ParseFailoverLock(const store::item& aItem);

/// What stands in the store below the prefix.
struct cluster_state
{
  struct stored_vm
  {
    vm_record record;
    store::revision changed;
  };

  struct stored_lock
  {
    failover_lock record;
    store::revision changed;
  };

  /// By name.
  absl::btree_map<std::string, stored_vm> vms;
  /// By service.
  absl::btree_map<std::string, stored_lock> locks;
  /// The recorded fleet, by name, and the record's last change.
  std::vector<vm_record> fleet;
  store::revision fleetChanged;

  /// The VMs that are listed, by name.
  [[nodiscard]] std::vector<vm_record> Listed() const;
};

/// Reads the keys; what can't be read is left out.
[[nodiscard]] cluster_state
ReadClusterState(const store::prefix_view::items& aItems);

/// What reading some keys anew has changed.
struct cluster_changes
{
  /// Everything may have.
  bool isAll = false;
  /// VMs that came, went or tell something else of themselves.
  std::vector<std::string> vms;
  /// Services whose duty has another record.
  std::vector<std::string> locks;
  /// The recorded fleet was written.
  bool isFleetRecorded = false;
};

/// Reads the keys that have changed, so that a change costs its own size; the
/// outcome is that of reading all.
[[nodiscard]] cluster_changes
UpdateClusterState(cluster_state& aKeys,
                   const store::prefix_view::items& aItems,
                   const store::changed_keys& aChanged);

/// Reads the recorded fleet alone.
void
ReloadFleet(cluster_state& aKeys, const store::prefix_view::items& aItems);

/// Counts VMs as recorded that the record lacks.
void
MergeIntoFleet(cluster_state& aKeys, const std::vector<vm_record>& aVms);

/// Whether a VM that is listed and stays holds the duty.
[[nodiscard]] bool
IsLockHeld(const cluster_state& aKeys, const std::string& aService);

/// Takes the duty over, provided that neither its record nor its holder's have
/// changed. The epoch is above every earlier one, also of claims that the store
/// has lost: states of the store only go up. The replaced term is the newest
/// that the record or this VM knows.
[[nodiscard]] store::transaction
MakeLockClaim(const cluster_state& aKeys,
              const std::string& aService,
              const vm_record& aSelf,
              store::revision aSeen,
              position::term_id aReplaced);

/// Whether the duty was claimed in the given era. The store may have lost later
/// claims and the terms that they replaced: a duty of an earlier era gives no
/// orders and tells of no term until its holder has claimed it anew.
[[nodiscard]] bool
IsFromEra(const failover_lock& aDuty, store::era_id aEra);

} // namespace currantshed::node

#endif

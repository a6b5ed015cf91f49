#ifndef CURRANTSHED_NODE_CLUSTER_STATE_HPP
#define CURRANTSHED_NODE_CLUSTER_STATE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/lead/term_history.hpp"
#include "currantshed/news/exchange.hpp"
#include "currantshed/position/log_position.hpp"
#include "currantshed/store/prefix_view.hpp"

namespace currantshed::node {

/// Prefix of the keys that this system itself keeps in the store.
constexpr std::string_view kClusterPrefix = "currantshed/";

/// What a VM publishes about itself.
struct vm_record
{
  news::peer where;
  /// Port that accepts statements to be relayed to servers.
  std::uint16_t relayPort = 0;
  std::string failureDomain;
  std::uint64_t incarnation = 0;
  /// CPU time available to the VM, in thousandths of a core.
  unsigned cpuMillicores = 0;
  /// The VM is draining and takes no failover locks.
  bool draining = false;

  [[nodiscard]] friend bool operator==(const vm_record&,
                                       const vm_record&) = default;
};

/// The failover lock of a group: its holder may change the group's primary.
struct failover_lock
{
  std::string holder;
  std::uint64_t incarnation = 0;
  /// Fencing token: increases with each change of the holder.
  std::uint64_t epoch = 0;
  lead::term_history terms = {};
};

[[nodiscard]] std::string
VmKey(const std::string& aVm);
[[nodiscard]] std::string
FailoverLockKey(const std::string& aService);

/// Key of the fleet record: which VMs exist, whether they run or not. VMs that
/// all start at once, for example after a power failure, divide the servers'
/// connections by this record until the others are listed again.
[[nodiscard]] std::string
FleetKey();

[[nodiscard]] std::string
SerializeFleet(const std::vector<vm_record>& aFleet);
[[nodiscard]] std::optional<std::vector<vm_record>>
ParseFleet(const store::item& aItem);

/// Whether both lists name the same VMs with the same attributes in the same
/// order. Incarnations are ignored.
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

/// The contents of the store below kClusterPrefix.
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

  /// By VM name.
  absl::btree_map<std::string, stored_vm> vms;
  /// By service.
  absl::btree_map<std::string, stored_lock> locks;
  /// The recorded fleet, ordered by name, and the revision of the record.
  std::vector<vm_record> fleet;
  store::revision fleetChanged;

  /// Returns the registered VMs, ordered by name.
  [[nodiscard]] std::vector<vm_record> Listed() const;

  /// Whether the VM is registered or belongs to the recorded fleet.
  [[nodiscard]] bool IsMember(const std::string& aVm) const;
};

/// Parses all keys. Keys that cannot be parsed are left out.
[[nodiscard]] cluster_state
ReadClusterState(const store::prefix_view::items& aItems);

/// The result of an incremental update.
struct cluster_changes
{
  /// Everything may have changed.
  bool isAll = false;
  /// VMs that were added, removed or have another record.
  std::vector<std::string> vms;
  /// Services whose failover lock changed.
  std::vector<std::string> locks;
  /// The fleet record was written.
  bool isFleetRecorded = false;
};

/// Parses only the keys that changed, so that the cost is proportional to the
/// change. The resulting state equals that of ReadClusterState.
[[nodiscard]] cluster_changes
UpdateClusterState(cluster_state& aState,
                   const store::prefix_view::items& aItems,
                   const store::changed_keys& aChanged);

/// Parses the fleet record again.
void
ReloadFleet(cluster_state& aState, const store::prefix_view::items& aItems);

/// Adds VMs that the fleet record lacks.
void
MergeIntoFleet(cluster_state& aState, const std::vector<vm_record>& aVms);

/// Whether the lock's holder is listed in the same incarnation and is not
/// draining.
[[nodiscard]] bool
IsLockHeld(const cluster_state& aState, const std::string& aService);

/// Builds the transaction that acquires the lock. It fails if the lock's record
/// or its holder's record has changed since. The epoch exceeds all earlier
/// ones, including those of claims that the store has lost, because it is
/// derived from the store's revision and era, which never decrease. What this
/// VM knows of replaced terms is added to the record.
[[nodiscard]] store::transaction
MakeLockClaim(const cluster_state& aState,
              const std::string& aService,
              const vm_record& aSelf,
              store::revision aSeen,
              const lead::term_history& aKnown);

/// Whether the lock was acquired in the given era. After a restore the store
/// may lack later claims and the terms that they replaced. The holder of a lock
/// of an earlier era orders no promotions and announces no terms until it has
/// acquired the lock again.
[[nodiscard]] bool
IsFromEra(const failover_lock& aLock, store::era_id aEra);

} // namespace currantshed::node

#endif

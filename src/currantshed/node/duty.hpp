#ifndef CURRANTSHED_NODE_DUTY_HPP
#define CURRANTSHED_NODE_DUTY_HPP

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

/// Prefix of the keys that this system itself keeps in the store.
constexpr std::string_view kOwnPrefix = "currantshed/";

/// What a VM publishes about itself.
struct vm_record
{
  news::peer where;
  /// Port that accepts statements to be relayed to servers.
  std::uint16_t relayPort = 0;
  std::string failureDomain;
  std::uint64_t incarnation = 0;
  /// CPU time available to the VM, in thousandths of a core.
  unsigned processorShare = 0;
  /// The VM is draining and takes no failover locks.
  bool leaving = false;

  [[nodiscard]] friend bool operator==(const vm_record&,
                                       const vm_record&) = default;
};

/// The failover lock of a group: its holder may change the group's primary.
struct duty_record
{
  std::string holder;
  std::uint64_t incarnation = 0;
  /// Fencing token: increases with each change of the holder.
  std::uint64_t epoch = 0;
  /// The newest term that a holder has had replaced or is about to.
  /// Confirmations of it must be rejected.
  position::term_id replacedTerm = 0;
};

[[nodiscard]] std::string
VmKey(const std::string& aVm);
[[nodiscard]] std::string
DutyKey(const std::string& aService);

/// Key of the fleet record: which VMs exist, whether they run or not. VMs that
/// all start at once, for example after a power failure, divide the servers'
/// connections by this record until the others are listed again.
[[nodiscard]] std::string
FleetKey();

[[nodiscard]] std::string
PrintFleet(const std::vector<vm_record>& aFleet);
[[nodiscard]] std::optional<std::vector<vm_record>>
ReadFleet(const store::item& aItem);

/// Whether both lists name the same VMs with the same attributes in the same
/// order. Incarnations are ignored.
[[nodiscard]] bool
IsSameFleet(const std::vector<vm_record>& aLeft,
            const std::vector<vm_record>& aRight);

[[nodiscard]] std::string
PrintVm(const vm_record& aRecord);
[[nodiscard]] std::optional<vm_record>
ReadVm(const store::item& aItem);

[[nodiscard]] std::string
PrintDuty(const duty_record& aRecord);
[[nodiscard]] std::optional<duty_record>
ReadDuty(const store::item& aItem);

/// The contents of the store below kClusterPrefix.
struct own_keys
{
  struct listed_vm
  {
    vm_record record;
    store::revision changed;
  };

  struct listed_duty
  {
    duty_record record;
    store::revision changed;
  };

  /// By VM name.
  absl::btree_map<std::string, listed_vm> vms;
  /// By service.
  absl::btree_map<std::string, listed_duty> duties;
  /// The recorded fleet, ordered by name, and the revision of the record.
  std::vector<vm_record> fleet;
  store::revision fleetChanged;

  /// Returns the registered VMs, ordered by name.
  [[nodiscard]] std::vector<vm_record> Listed() const;
};

/// Parses all keys. Keys that cannot be parsed are left out.
[[nodiscard]] own_keys
ReadOwnKeys(const store::prefix_view::items& aItems);

/// The result of an incremental update.
struct own_changes
{
  /// Everything may have changed.
  bool isAll = false;
  /// VMs that were added, removed or have another record.
  std::vector<std::string> vms;
  /// Services whose failover lock changed.
  std::vector<std::string> duties;
  /// The fleet record was written.
  bool isFleetRecorded = false;
};

/// Parses only the keys that changed, so that the cost is proportional to the
/// change. The resulting state equals that of ReadClusterState.
[[nodiscard]] own_changes
UpdateOwnKeys(own_keys& aKeys,
              const store::prefix_view::items& aItems,
              const store::changed_keys& aChanged);

/// Parses the fleet record again.
void
UpdateFleet(own_keys& aKeys, const store::prefix_view::items& aItems);

/// Adds VMs that the fleet record lacks.
void
AddRecorded(own_keys& aKeys, const std::vector<vm_record>& aVms);

/// Whether the lock's holder is listed in the same incarnation and is not
/// draining.
[[nodiscard]] bool
HasHolder(const own_keys& aKeys, const std::string& aService);

/// Builds the transaction that acquires the lock. It fails if the lock's record
/// or its holder's record has changed since. The epoch exceeds all earlier
/// ones, including those of claims that the store has lost, because it is
/// derived from the store's revision and era, which never decrease. The
/// replaced term is the newest that the record or this VM knows.
[[nodiscard]] store::transaction
ClaimOf(const own_keys& aKeys,
        const std::string& aService,
        const vm_record& aSelf,
        store::revision aSeen,
        position::term_id aReplaced);

/// Whether the lock was acquired in the given era. After a restore the store
/// may lack later claims and the terms that they replaced. The holder of a lock
/// of an earlier era orders no promotions and announces no terms until it has
/// acquired the lock again.
[[nodiscard]] bool
IsOfEra(const duty_record& aDuty, store::era_id aEra);

} // namespace currantshed::node

#endif

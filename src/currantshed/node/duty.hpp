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

/// Where this system keeps its own keys in the store.
constexpr std::string_view kOwnPrefix = "currantshed/";

/// What a VM writes about itself.
struct vm_record
{
  news::peer where;
  /// Port for statements that it relays.
  std::uint16_t relayPort = 0;
  std::string failureDomain;
  std::uint64_t incarnation = 0;
  /// Processor time that it has, in thousandths of a core.
  unsigned processorShare = 0;
  /// Stops soon: takes no duty.
  bool leaving = false;

  [[nodiscard]] friend bool operator==(const vm_record&,
                                       const vm_record&) = default;
};

/// Who may change the primary of a group.
struct duty_record
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
DutyKey(const std::string& aService);

/// Where it is recorded which VMs there are, whether they run or not. VMs that
/// start, all at once after a loss of power, share the servers' connections by
/// it until the others are listed again.
[[nodiscard]] std::string
FleetKey();

[[nodiscard]] std::string
PrintFleet(const std::vector<vm_record>& aFleet);
[[nodiscard]] std::optional<std::vector<vm_record>>
ReadFleet(const store::item& aItem);

/// Whether both name the same VMs at the same places, in the same order; lives
/// may differ.
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

/// What stands in the store below the prefix.
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

  /// By name.
  absl::btree_map<std::string, listed_vm> vms;
  /// By service.
  absl::btree_map<std::string, listed_duty> duties;
  /// The recorded fleet, by name, and the record's last change.
  std::vector<vm_record> fleet;
  store::revision fleetChanged;

  /// The VMs that are listed, by name.
  [[nodiscard]] std::vector<vm_record> Listed() const;
};

/// Reads the keys; what can't be read is left out.
[[nodiscard]] own_keys
ReadOwnKeys(const store::prefix_view::items& aItems);

/// What reading some keys anew has changed.
struct own_changes
{
  /// Everything may have.
  bool isAll = false;
  /// VMs that came, went or tell something else of themselves.
  std::vector<std::string> vms;
  /// Services whose duty has another record.
  std::vector<std::string> duties;
  /// The recorded fleet was written.
  bool isFleetRecorded = false;
};

/// Reads the keys that have changed, so that a change costs its own size; the
/// outcome is that of reading all.
[[nodiscard]] own_changes
UpdateOwnKeys(own_keys& aKeys,
              const store::prefix_view::items& aItems,
              const store::changed_keys& aChanged);

/// Reads the recorded fleet alone.
void
UpdateFleet(own_keys& aKeys, const store::prefix_view::items& aItems);

/// Counts VMs as recorded that the record lacks.
void
AddRecorded(own_keys& aKeys, const std::vector<vm_record>& aVms);

/// Whether a VM that is listed and stays holds the duty.
[[nodiscard]] bool
HasHolder(const own_keys& aKeys, const std::string& aService);

/// Takes the duty over, provided that neither its record nor its holder's have
/// changed. The epoch is above every earlier one, also of claims that the store
/// has lost: states of the store only go up. The replaced term is the newest
/// that the record or this VM knows.
[[nodiscard]] store::transaction
ClaimOf(const own_keys& aKeys,
        const std::string& aService,
        const vm_record& aSelf,
        store::revision aSeen,
        position::term_id aReplaced);

/// Whether the duty was claimed in the given era. The store may have lost later
/// claims and the terms that they replaced: a duty of an earlier era gives no
/// orders and tells of no term until its holder has claimed it anew.
[[nodiscard]] bool
IsOfEra(const duty_record& aDuty, store::era_id aEra);

} // namespace currantshed::node

#endif

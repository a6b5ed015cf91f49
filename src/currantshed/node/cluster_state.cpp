#include "currantshed/node/cluster_state.hpp"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

namespace currantshed::node {

namespace {

namespace json = boost::json;

constexpr std::string_view kVms = "currantshed/vm/";
constexpr std::string_view kDuties = "currantshed/duty/";
constexpr std::string_view kFleet = "currantshed/fleet";

// An epoch is a state of the store in one number. Both parts together stay
// below what a double holds exactly, since the platform may read it as one.
constexpr unsigned kNumberBits = 40;

std::uint64_t
EpochOf(const store::revision& aAt)
{
  return (aAt.era << kNumberBits) | aAt.number;
}

std::string
Text(const json::object& aObject, std::string_view aName)
{
  return json::value_to<std::string>(aObject.at(aName));
}

std::uint64_t
Number(const json::object& aObject, std::string_view aName)
{
  return aObject.at(aName).to_number<std::uint64_t>();
}

bool
StartsWith(const std::string& aText, std::string_view aWith)
{
  return aText.compare(0, aWith.size(), aWith) == 0;
}

json::object
ToObject(const vm_record& aRecord)
{
  return { { "vm", aRecord.where.vm },
           { "address", aRecord.where.address },
           { "port", aRecord.where.port },
           { "relay_port", aRecord.relayPort },
           { "failure_domain", aRecord.failureDomain },
           { "incarnation", aRecord.incarnation },
           { "share", aRecord.cpuMillicores },
           { "leaving", aRecord.leaving } };
}

// Throws what Boost.JSON throws when a member is missing or of another kind.
vm_record
FromObject(const json::object& aObject)
{
  vm_record record;
  record.where = { Text(aObject, "vm"),
                   Text(aObject, "address"),
                   aObject.at("port").to_number<std::uint16_t>() };
  record.relayPort = aObject.at("relay_port").to_number<std::uint16_t>();
  record.failureDomain = Text(aObject, "failure_domain");
  record.incarnation = Number(aObject, "incarnation");
  record.cpuMillicores = aObject.at("share").to_number<unsigned>();
  record.leaving = aObject.at("leaving").as_bool();
  return record;
}

// The same for a row of the recorded fleet, without names: the record is read
// by all VMs and grows with them. Of lives it tells nothing.
vm_record
FromRow(const json::array& aRow)
{
  vm_record record;
  record.where = { json::value_to<std::string>(aRow.at(0)),
                   json::value_to<std::string>(aRow.at(1)),
                   aRow.at(2).to_number<std::uint16_t>() };
  record.relayPort = aRow.at(3).to_number<std::uint16_t>();
  record.failureDomain = json::value_to<std::string>(aRow.at(4));
  record.cpuMillicores = aRow.at(5).to_number<unsigned>();
  return record;
}

// Whether the holder is listed in the life that took the duty, and stays.
bool
IsHeld(const cluster_state& aKeys, const failover_lock& aDuty)
{
  const auto holder = aKeys.vms.find(aDuty.holder);
  return holder != aKeys.vms.end() &&
         holder->second.record.incarnation == aDuty.incarnation &&
         !holder->second.record.leaving;
}

// Each of these takes over what a key says now; null stands for one that is
// gone, and one that can't be read is as good as gone.
void
ReadVmKey(cluster_state& aKeys,
          const std::string& aName,
          const store::item* aItem,
          cluster_changes& aChanges)
{
  auto record = aItem == nullptr ? std::nullopt : ParseVm(*aItem);
  const auto before = aKeys.vms.find(aName);
  const bool wasThere = before != aKeys.vms.end();
  if (!record || record->where.vm != aName) {
    if (wasThere) {
      aKeys.vms.erase(before);
      aChanges.vms.push_back(aName);
    }
    return;
  }
  // A key that was moved to another lease says the same.
  if (!wasThere || before->second.record != *record) {
    aChanges.vms.push_back(aName);
  }
  aKeys.vms[aName] = { std::move(*record), aItem->changed };
}

void
ReadDutyKey(cluster_state& aKeys,
            const std::string& aService,
            const store::item* aItem,
            cluster_changes& aChanges)
{
  auto record = aItem == nullptr ? std::nullopt : ParseFailoverLock(*aItem);
  aChanges.locks.push_back(aService);
  if (record) {
    aKeys.locks[aService] = { std::move(*record), aItem->changed };
  } else {
    aKeys.locks.erase(aService);
  }
}

void
ReadFleetKey(cluster_state& aKeys,
             const store::item* aItem,
             cluster_changes& aChanges)
{
  auto fleet = aItem == nullptr ? std::nullopt : ParseFleet(*aItem);
  aKeys.fleet = fleet ? std::move(*fleet) : std::vector<vm_record>{};
  aKeys.fleetChanged = aItem == nullptr ? store::revision{} : aItem->changed;
  aChanges.isFleetRecorded = true;
}

void
ReadKey(cluster_state& aKeys,
        const std::string& aKey,
        const store::item* aItem,
        cluster_changes& aChanges)
{
  if (StartsWith(aKey, kVms)) {
    ReadVmKey(aKeys, aKey.substr(kVms.size()), aItem, aChanges);
  } else if (StartsWith(aKey, kDuties)) {
    ReadDutyKey(aKeys, aKey.substr(kDuties.size()), aItem, aChanges);
  } else if (aKey == kFleet) {
    ReadFleetKey(aKeys, aItem, aChanges);
  }
}

} // namespace

std::string
VmKey(const std::string& aVm)
{
  return std::string(kVms) + aVm;
}

std::string
FailoverLockKey(const std::string& aService)
{
  return std::string(kDuties) + aService;
}

std::string
FleetKey()
{
  return std::string(kFleet);
}

std::string
SerializeFleet(const std::vector<vm_record>& aFleet)
{
  json::array vms;
  for (const auto& one : aFleet) {
    vms.push_back(json::array{ one.where.vm,
                               one.where.address,
                               one.where.port,
                               one.relayPort,
                               one.failureDomain,
                               one.cpuMillicores });
  }
  return json::serialize(vms);
}

std::optional<std::vector<vm_record>>
ParseFleet(const store::item& aItem)
{
  try {
    std::vector<vm_record> fleet;
    const auto parsed = json::parse(aItem.value);
    for (const auto& one : parsed.as_array()) {
      fleet.push_back(FromRow(one.as_array()));
    }
    return fleet;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

bool
IsSameFleet(const std::vector<vm_record>& aLeft,
            const std::vector<vm_record>& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const auto& aOne, const auto& aOther) {
                      return aOne.where == aOther.where &&
                             aOne.relayPort == aOther.relayPort &&
                             aOne.failureDomain == aOther.failureDomain &&
                             aOne.cpuMillicores == aOther.cpuMillicores;
                    });
}

std::string
SerializeVm(const vm_record& aRecord)
{
  return json::serialize(ToObject(aRecord));
}

std::optional<vm_record>
ParseVm(const store::item& aItem)
{
  try {
    return FromObject(json::parse(aItem.value).as_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::vector<vm_record>
cluster_state::Listed() const
{
  std::vector<vm_record> listed;
  for (const auto& [name, one] : vms) {
    listed.push_back(one.record);
  }
  return listed;
}

std::string
SerializeFailoverLock(const failover_lock& aRecord)
{
  return json::serialize(
    json::object{ { "holder", aRecord.holder },
                  { "incarnation", aRecord.incarnation },
                  { "epoch", aRecord.epoch },
                  { "replaced_term", aRecord.replacedTerm } });
}

std::optional<failover_lock>
ParseFailoverLock(const store::item& aItem)
{
  try {
    const auto object = json::parse(aItem.value).as_object();
    failover_lock record{ Text(object, "holder"),
                          Number(object, "incarnation"),
                          Number(object, "epoch") };
    // Versions before the field had no term to tell.
    if (object.contains("replaced_term")) {
      record.replacedTerm = Number(object, "replaced_term");
    }
    return record;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

cluster_state
ReadClusterState(const store::prefix_view::items& aItems)
{
  cluster_state keys;
  for (const auto& [key, item] : aItems) {
    cluster_changes ignored;
    ReadKey(keys, key, &item, ignored);
  }
  return keys;
}

cluster_changes
UpdateClusterState(cluster_state& aKeys,
                   const store::prefix_view::items& aItems,
                   const store::changed_keys& aChanged)
{
  cluster_changes changes;
  if (aChanged.isAll) {
    aKeys = ReadClusterState(aItems);
    changes.isAll = true;
    return changes;
  }
  for (const auto& key : aChanged.keys) {
    const auto found = aItems.find(key);
    ReadKey(
      aKeys, key, found == aItems.end() ? nullptr : &found->second, changes);
  }
  return changes;
}

void
ReloadFleet(cluster_state& aKeys, const store::prefix_view::items& aItems)
{
  const auto found = aItems.find(FleetKey());
  cluster_changes ignored;
  ReadKey(aKeys,
          FleetKey(),
          found == aItems.end() ? nullptr : &found->second,
          ignored);
}

void
MergeIntoFleet(cluster_state& aKeys, const std::vector<vm_record>& aVms)
{
  absl::btree_map<std::string, vm_record> byName;
  for (const auto* vms : { &std::as_const(aKeys.fleet), &aVms }) {
    for (const auto& one : *vms) {
      byName.try_emplace(one.where.vm, one);
    }
  }
  aKeys.fleet.clear();
  for (auto& [name, one] : byName) {
    aKeys.fleet.push_back(std::move(one));
  }
}

bool
IsLockHeld(const cluster_state& aKeys, const std::string& aService)
{
  const auto duty = aKeys.locks.find(aService);
  return duty != aKeys.locks.end() && IsHeld(aKeys, duty->second.record);
}

store::transaction
MakeLockClaim(const cluster_state& aKeys,
              const std::string& aService,
              const vm_record& aSelf,
              store::revision aSeen,
              position::term_id aReplaced)
{
  const auto key = FailoverLockKey(aService);
  const auto before = aKeys.locks.find(aService);
  const store::revision none{ aSeen.era };
  failover_lock made{
    aSelf.where.vm, aSelf.incarnation, EpochOf(aSeen), aReplaced
  };
  store::transaction claim;
  if (before == aKeys.locks.end()) {
    claim.conditions.push_back({ key, none });
  } else {
    const auto& old = before->second.record;
    const auto holder = aKeys.vms.find(old.holder);
    made.epoch = std::max(made.epoch, old.epoch + 1);
    made.replacedTerm = std::max(aReplaced, old.replacedTerm);
    claim.conditions.push_back({ key, before->second.changed });
    claim.conditions.push_back(
      { VmKey(old.holder),
        holder == aKeys.vms.end() ? none : holder->second.changed });
  }
  claim.puts.push_back({ key, SerializeFailoverLock(made), {}, {} });
  return claim;
}

bool
IsFromEra(const failover_lock& aDuty, store::era_id aEra)
{
  return aDuty.epoch >> kNumberBits == aEra;
}

} // namespace currantshed::node

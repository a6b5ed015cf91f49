#include "currantshed/node/cluster_state.hpp"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

namespace currantshed::node {

namespace {

namespace json = boost::json;

constexpr std::string_view kVmPrefix = "currantshed/vm/";
constexpr std::string_view kLockPrefix = "currantshed/duty/";
constexpr std::string_view kFleetKey = "currantshed/fleet";

// An epoch combines the era and the revision of the store in one number. It
// stays below 2^53, which a double represents exactly, because the platform may
// read it as a double.
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
SerializeVmRecord(const vm_record& aRecord)
{
  return { { "vm", aRecord.where.vm },
           { "address", aRecord.where.address },
           { "port", aRecord.where.port },
           { "relay_port", aRecord.relayPort },
           { "failure_domain", aRecord.failureDomain },
           { "incarnation", aRecord.incarnation },
           { "share", aRecord.cpuMillicores },
           { "leaving", aRecord.draining } };
}

// Throws the exceptions of Boost.JSON if a member is missing or has another
// type.
vm_record
ParseVmRecord(const json::object& aObject)
{
  vm_record record;
  record.where = { Text(aObject, "vm"),
                   Text(aObject, "address"),
                   aObject.at("port").to_number<std::uint16_t>() };
  record.relayPort = aObject.at("relay_port").to_number<std::uint16_t>();
  record.failureDomain = Text(aObject, "failure_domain");
  record.incarnation = Number(aObject, "incarnation");
  record.cpuMillicores = aObject.at("share").to_number<unsigned>();
  record.draining = aObject.at("leaving").as_bool();
  return record;
}

// Parses a row of the fleet record. Rows have no member names, because every VM
// reads the whole record and it grows with the fleet. Incarnations are not
// recorded.
vm_record
ParseFleetRow(const json::array& aRow)
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

// Whether the holder is listed in the incarnation that acquired the lock and is
// not draining.
bool
IsHeld(const cluster_state& aState, const failover_lock& aLock)
{
  const auto holder = aState.vms.find(aLock.holder);
  return holder != aState.vms.end() &&
         holder->second.record.incarnation == aLock.incarnation &&
         !holder->second.record.draining;
}

// The following functions apply one key. Null stands for a removed key, and a
// value that cannot be parsed counts as removed.
void
ApplyVmKey(cluster_state& aState,
           const std::string& aName,
           const store::item* aItem,
           cluster_changes& aChanges)
{
  auto record = aItem == nullptr ? std::nullopt : ParseVm(*aItem);
  const auto before = aState.vms.find(aName);
  const bool wasThere = before != aState.vms.end();
  if (!record || record->where.vm != aName) {
    if (wasThere) {
      aState.vms.erase(before);
      aChanges.vms.push_back(aName);
    }
    return;
  }
  // Moving a key to another lease changes its revision but not its value.
  if (!wasThere || before->second.record != *record) {
    aChanges.vms.push_back(aName);
  }
  aState.vms[aName] = { std::move(*record), aItem->changed };
}

void
ApplyLockKey(cluster_state& aState,
             const std::string& aService,
             const store::item* aItem,
             cluster_changes& aChanges)
{
  auto record = aItem == nullptr ? std::nullopt : ParseFailoverLock(*aItem);
  aChanges.locks.push_back(aService);
  if (record) {
    aState.locks[aService] = { std::move(*record), aItem->changed };
  } else {
    aState.locks.erase(aService);
  }
}

void
ApplyFleetKey(cluster_state& aState,
              const store::item* aItem,
              cluster_changes& aChanges)
{
  auto fleet = aItem == nullptr ? std::nullopt : ParseFleet(*aItem);
  aState.fleet = fleet ? std::move(*fleet) : std::vector<vm_record>{};
  aState.fleetChanged = aItem == nullptr ? store::revision{} : aItem->changed;
  aChanges.isFleetRecorded = true;
}

void
ApplyKey(cluster_state& aState,
         const std::string& aKey,
         const store::item* aItem,
         cluster_changes& aChanges)
{
  if (StartsWith(aKey, kVmPrefix)) {
    ApplyVmKey(aState, aKey.substr(kVmPrefix.size()), aItem, aChanges);
  } else if (StartsWith(aKey, kLockPrefix)) {
    ApplyLockKey(aState, aKey.substr(kLockPrefix.size()), aItem, aChanges);
  } else if (aKey == kFleetKey) {
    ApplyFleetKey(aState, aItem, aChanges);
  }
}

} // namespace

std::string
VmKey(const std::string& aVm)
{
  return std::string(kVmPrefix) + aVm;
}

std::string
FailoverLockKey(const std::string& aService)
{
  return std::string(kLockPrefix) + aService;
}

std::string
FleetKey()
{
  return std::string(kFleetKey);
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
      fleet.push_back(ParseFleetRow(one.as_array()));
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
  return json::serialize(SerializeVmRecord(aRecord));
}

std::optional<vm_record>
ParseVm(const store::item& aItem)
{
  try {
    return ParseVmRecord(json::parse(aItem.value).as_object());
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

bool
cluster_state::IsMember(const std::string& aVm) const
{
  return vms.contains(aVm) ||
         std::any_of(fleet.begin(), fleet.end(), [&aVm](const auto& aOne) {
           return aOne.where.vm == aVm;
         });
}

std::string
SerializeFailoverLock(const failover_lock& aRecord)
{
  json::object object{ { "holder", aRecord.holder },
                       { "incarnation", aRecord.incarnation },
                       { "epoch", aRecord.epoch },
                       { "replaced_term", aRecord.terms.replaced } };
  if (!aRecord.terms.ordered.empty()) {
    object["ordered"] = aRecord.terms.ordered;
  }
  if (!aRecord.terms.ends.empty()) {
    json::array ends;
    for (const auto& one : aRecord.terms.ends) {
      ends.push_back(json::array{ one.term, one.last });
    }
    object["term_ends"] = std::move(ends);
  }
  return json::serialize(object);
}

// Fields that versions before theirs did not write may be absent.
std::optional<failover_lock>
ParseFailoverLock(const store::item& aItem)
{
  try {
    const auto object = json::parse(aItem.value).as_object();
    failover_lock record{ Text(object, "holder"),
                          Number(object, "incarnation"),
                          Number(object, "epoch") };
    if (object.contains("replaced_term")) {
      record.terms.replaced = Number(object, "replaced_term");
    }
    if (object.contains("ordered")) {
      record.terms.ordered = Text(object, "ordered");
    }
    if (const auto* ends = object.if_contains("term_ends")) {
      for (const auto& one : ends->as_array()) {
        const auto& pair = one.as_array();
        lead::RecordEnd(record.terms,
                        { pair.at(0).to_number<position::term_id>(),
                          pair.at(1).to_number<position::log_index>() });
      }
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
    cluster_changes ignoredChanges;
    ApplyKey(keys, key, &item, ignoredChanges);
  }
  return keys;
}

cluster_changes
UpdateClusterState(cluster_state& aState,
                   const store::prefix_view::items& aItems,
                   const store::changed_keys& aChanged)
{
  cluster_changes changes;
  if (aChanged.isAll) {
    aState = ReadClusterState(aItems);
    changes.isAll = true;
    return changes;
  }
  for (const auto& key : aChanged.keys) {
    const auto found = aItems.find(key);
    ApplyKey(
      aState, key, found == aItems.end() ? nullptr : &found->second, changes);
  }
  return changes;
}

void
ReloadFleet(cluster_state& aState, const store::prefix_view::items& aItems)
{
  const auto found = aItems.find(FleetKey());
  cluster_changes ignoredChanges;
  ApplyKey(aState,
           FleetKey(),
           found == aItems.end() ? nullptr : &found->second,
           ignoredChanges);
}

void
MergeIntoFleet(cluster_state& aState, const std::vector<vm_record>& aVms)
{
  absl::btree_map<std::string, vm_record> byName;
  for (const auto* vms : { &std::as_const(aState.fleet), &aVms }) {
    for (const auto& one : *vms) {
      byName.try_emplace(one.where.vm, one);
    }
  }
  aState.fleet.clear();
  for (auto& [name, one] : byName) {
    aState.fleet.push_back(std::move(one));
  }
}

bool
IsLockHeld(const cluster_state& aState, const std::string& aService)
{
  const auto lock = aState.locks.find(aService);
  return lock != aState.locks.end() && IsHeld(aState, lock->second.record);
}

store::transaction
MakeLockClaim(const cluster_state& aState,
              const std::string& aService,
              const vm_record& aSelf,
              store::revision aSeen,
              const lead::term_history& aKnown)
{
  const auto key = FailoverLockKey(aService);
  const auto before = aState.locks.find(aService);
  const store::revision none{ aSeen.era };
  failover_lock claimed{
    aSelf.where.vm, aSelf.incarnation, EpochOf(aSeen), aKnown
  };
  store::transaction claim;
  if (before == aState.locks.end()) {
    claim.conditions.push_back({ key, none });
  } else {
    const auto& old = before->second.record;
    const auto holder = aState.vms.find(old.holder);
    claimed.epoch = std::max(claimed.epoch, old.epoch + 1);
    claimed.terms = lead::Merge(aKnown, old.terms);
    claim.conditions.push_back({ key, before->second.changed });
    claim.conditions.push_back(
      { VmKey(old.holder),
        holder == aState.vms.end() ? none : holder->second.changed });
  }
  claim.puts.push_back({ key, SerializeFailoverLock(claimed), {}, {} });
  return claim;
}

bool
IsFromEra(const failover_lock& aLock, store::era_id aEra)
{
  return aLock.epoch >> kNumberBits == aEra;
}

} // namespace currantshed::node

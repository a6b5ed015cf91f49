// The servers that the store lists.
#include "currantshed/node/control.hpp"

#include <cmath>
#include <utility>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include "currantshed/log/log.hpp"
#include "currantshed/node/entry_error.hpp"

namespace currantshed::node {

namespace {

// A number from 0 to below 1, derived from the group and the VM, so that it is
// the same on every VM.
double
PlaceOf(const std::string& aService, const std::string& aVm)
{
  const auto text = absl::StrCat(aService, "\n", aVm);
  const auto hash = XXH3_64bits(text.data(), text.size());
  return std::ldexp(static_cast<double>(hash >> 11U), -53);
}

// The services for which the list of servers differs.
absl::flat_hash_set<std::string>
ChangedServices(const std::vector<proxy::server>& aBefore,
                const std::vector<proxy::server>& aNow)
{
  absl::flat_hash_map<std::string_view, const proxy::server*> before;
  for (const auto& one : aBefore) {
    before[one.id] = &one;
  }
  absl::flat_hash_set<std::string> changed;
  for (const auto& one : aNow) {
    const auto found = before.find(one.id);
    if (found != before.end() && *found->second == one) {
      before.erase(found);
    } else {
      changed.insert(one.service);
    }
  }
  for (const auto& [id, gone] : before) {
    changed.insert(gone->service);
  }
  return changed;
}

} // namespace

void
control::ServersChanged(clock::time_point aNow)
{
  const auto era = mServersView.Seen().era;
  if (std::exchange(mServersEra, era) != era) {
    mServers.OnStoreRestored(aNow);
  }
  const auto before = mServers.Servers();
  const auto source =
    mServersView.MayBeStale() ? list_source::kResync : list_source::kWatch;
  LogServerChanges(mServers.Update(ReadServers(), source, aNow), source);
  const auto changed = ChangedServices(before, mServers.Servers());
  if (changed.empty()) {
    return;
  }
  ConfigureGroups(changed, aNow);
  log::Write(
    log::level::kInfo,
    "servers_listed",
    { { "servers", static_cast<std::int64_t>(mServers.Servers().size()) },
      { "revision", static_cast<std::int64_t>(mServersView.Seen().number) },
      { "store_era", static_cast<std::int64_t>(mServersView.Seen().era) } });
  mTraffic.SetServers(mServers.Servers());
  UpdateReadiness(aNow);
  PerformActions(aNow);
}

// Entries of unknown writers cannot be used. The server of an entry that was
// valid before and cannot be parsed any longer counts as missing: its last
// state holds for the grace period, so that a draining server remains draining.
// Only entries that have changed are parsed, because those of a thousand groups
// arrive in many updates.
std::vector<proxy::server>
control::ReadServers()
{
  const auto& items = mServersView.Items();
  const auto changed = mServersView.TakeChangedKeys();
  if (changed.isAll) {
    mEntries.clear();
    absl::erase_if(mUnusableEntries, [&items](const auto& aEntry) {
      return !items.contains(aEntry.first);
    });
    for (const auto& [key, item] : items) {
      ReadEntry(key, item);
    }
  }
  for (const auto& key : changed.keys) {
    const auto found = items.find(key);
    if (found == items.end()) {
      mEntries.erase(key);
      mUnusableEntries.erase(key);
    } else {
      ReadEntry(key, found->second);
    }
  }
  std::vector<proxy::server> servers;
  servers.reserve(mEntries.size());
  for (const auto& [key, entry] : mEntries) {
    if (mServices && !mServices->contains(entry.service)) {
      LogUnusableEntry(key, items.at(key).changed, entry_errc::kUnknownService);
    } else {
      servers.push_back(entry);
    }
  }
  return servers;
}

void
control::ReadEntry(const std::string& aKey, const store::item& aItem)
{
  std::error_code error;
  auto read = mDocuments.ReadServer(aKey, aItem.value, error);
  if (read && !error) {
    mEntries.insert_or_assign(aKey, std::move(*read));
    mUnusableEntries.erase(aKey);
    return;
  }
  mEntries.erase(aKey);
  LogUnusableEntry(aKey, aItem.changed, error);
}

// Logs once per entry and revision.
void
control::LogUnusableEntry(const std::string& aKey,
                          store::revision aChanged,
                          std::error_code aError)
{
  auto& loggedRevision = mUnusableEntries[aKey];
  if (std::exchange(loggedRevision, aChanged) == aChanged) {
    return;
  }
  mMetrics.CountUnusableEntry(aError.message());
  log::Write(log::level::kWarning,
             "server_unusable",
             { { "key", aKey },
               { "reason", aError.message() },
               { "changed", static_cast<std::int64_t>(aChanged.number) } });
}

// Logs once per change of a server's state, which shows when and how this VM
// learned that a server is draining. New servers are not logged one by one:
// when all start they are many, and only their number is logged.
void
control::LogServerChanges(const std::vector<server_change>& aChanges,
                          list_source aSource) const
{
  for (const auto& one : aChanges) {
    if (one.isNew && one.state == listing_state::kReady) {
      continue;
    }
    const auto* found = Find(one.server.service);
    const bool leads = found != nullptr &&
                       found->monitor.Confirmation().primary == one.server.id;
    mMetrics.CountListingState(ToString(one.state));
    log::Write(
      log::level::kInfo,
      "server_standing",
      { { "server", one.server.id },
        { "service", one.server.service },
        { "standing", std::string(ToString(one.state)) },
        { "started_at_ms",
          static_cast<std::int64_t>(
            one.server.startedAt.time_since_epoch().count()) },
        { "is_primary", leads },
        { "learned_by", std::string(ToString(aSource)) },
        { "revision", static_cast<std::int64_t>(mServersView.Seen().number) },
        { "store_era", static_cast<std::int64_t>(mServersView.Seen().era) } });
  }
}

void
control::ConfigureGroups(const absl::flat_hash_set<std::string>& aServices,
                         clock::time_point aNow)
{
  absl::btree_map<std::string, std::vector<lead::member>> members;
  for (const auto& one : mServers.Servers()) {
    if (aServices.contains(one.service)) {
      members[one.service].push_back(
        { one.id,
          one.failureDomain == mSettings.failureDomain,
          one.draining,
          one.startedAt });
    }
  }
  for (auto& [service, listed] : members) {
    auto& entry = mGroups[service];
    if (entry == nullptr) {
      entry = std::make_unique<group>(mMonitorSettings);
      entry->queryRank = PlaceOf(service, mSelf.where.vm);
      entry->monitor.SetMayConfirm(mMayConfirm);
      mLocks.AddService(mClusterState, service);
    }
    entry->monitor.Configure(listed, aNow);
    mScheduler.MarkPending(service);
  }
}

} // namespace currantshed::node

// Which servers there are, as the store lists them.
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

// A number from 0 to below 1 that differs by group and VM, the same everywhere.
double
PlaceOf(const std::string& aService, const std::string& aVm)
{
  const auto text = absl::StrCat(aService, "\n", aVm);
  const auto hash = XXH3_64bits(text.data(), text.size());
  return std::ldexp(static_cast<double>(hash >> 11U), -53);
}

// The services some of whose servers are listed otherwise than before.
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
  NoteServers(mServers.Take(ReadServers(), source, aNow), source);
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
  Perform(aNow);
}

// Entries of other writers name no server to use. One that was good before and
// can't be read any longer is missing: what it said last holds for as long as a
// missing server is kept, so that one that leaves is still leaving. Only
// entries that have changed are read: those of a thousand groups come in many
// turns.
std::vector<proxy::server>
control::ReadServers()
{
  const auto& items = mServersView.Items();
  const auto changed = mServersView.TakeChangedKeys();
  if (changed.isAll) {
    mEntries.clear();
    absl::erase_if(mUnusable, [&items](const auto& aEntry) {
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
      mUnusable.erase(key);
    } else {
      ReadEntry(key, found->second);
    }
  }
  std::vector<proxy::server> servers;
  servers.reserve(mEntries.size());
  for (const auto& [key, entry] : mEntries) {
    if (mServices && !mServices->contains(entry.service)) {
      NoteUnusable(key, items.at(key).changed, entry_errc::kUnknownService);
    } else {
      servers.push_back(entry);
    }
  }
  return servers;
}

void
control::ReadEntry(const std::string& aKey, const store::item& aItem)
{
  std::error_code whyNot;
  auto read = mDocuments.ReadServer(aKey, aItem.value, whyNot);
  if (read && !whyNot) {
    mEntries.insert_or_assign(aKey, std::move(*read));
    mUnusable.erase(aKey);
    return;
  }
  mEntries.erase(aKey);
  NoteUnusable(aKey, aItem.changed, whyNot);
}

// One line for each entry and change of it.
void
control::NoteUnusable(const std::string& aKey,
                      store::revision aChanged,
                      std::error_code aWhyNot)
{
  auto& noted = mUnusable[aKey];
  if (std::exchange(noted, aChanged) == aChanged) {
    return;
  }
  mMetrics.CountUnusableEntry(aWhyNot.message());
  log::Write(log::level::kWarning,
             "server_unusable",
             { { "key", aKey },
               { "reason", aWhyNot.message() },
               { "changed", static_cast<std::int64_t>(aChanged.number) } });
}

// One line for each server whose standing has changed, so that it can be told
// when this VM knew that a server leaves, and how it came to know. Those that
// have come are many when all start, and told by their number alone.
void
control::NoteServers(const std::vector<server_change>& aNews,
                     list_source aSource) const
{
  for (const auto& one : aNews) {
    if (one.isNew && one.standing == listing_state::kReady) {
      continue;
    }
    const auto* lead = Find(one.server.service);
    const bool leads =
      lead != nullptr && lead->lead.Confirmation().primary == one.server.id;
    mMetrics.CountListingState(ToString(one.standing));
    log::Write(
      log::level::kInfo,
      "server_standing",
      { { "server", one.server.id },
        { "service", one.server.service },
        { "standing", std::string(ToString(one.standing)) },
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
    auto& place = mGroups[service];
    if (place == nullptr) {
      place = std::make_unique<group>(mLeadSettings);
      place->place = PlaceOf(service, mSelf.where.vm);
      place->lead.SetMayConfirm(mMayAsk);
      mDuties.AddService(mOwnKeys, service);
    }
    place->lead.Configure(listed, aNow);
    mAgenda.Touch(service);
  }
}

} // namespace currantshed::node

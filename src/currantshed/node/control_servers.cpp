// Which servers there are, as the store lists them.
#include "currantshed/node/control.hpp"

#include <utility>

#include "currantshed/log/log.hpp"
#include "currantshed/node/entry_error.hpp"

namespace currantshed::node {

void
control::ServersChanged(clock::time_point aNow)
{
  const auto era = mServersView.Seen().era;
  if (std::exchange(mServersEra, era) != era) {
    mServers.StoreReturned(aNow);
  }
  const auto before = mServers.Servers();
  const auto source =
    mServersView.MayBeOld() ? list_source::kCatchUp : list_source::kWatch;
  NoteServers(mServers.Take(ReadServers(), source, aNow), source);
  if (mServers.Servers() == before) {
    return;
  }
  ConfigureGroups(aNow);
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
// missing server is kept, so that one that leaves is still leaving.
std::vector<proxy::server>
control::ReadServers()
{
  std::vector<proxy::server> servers;
  absl::btree_map<std::string, store::revision> unusable;
  for (const auto& [key, item] : mServersView.Items()) {
    std::error_code whyNot;
    auto read = mDocuments.ReadServer(key, item.value, whyNot);
    if (read && mServices && !mServices->contains(read->service)) {
      whyNot = entry_errc::kUnknownService;
    }
    if (!whyNot) {
      servers.push_back(std::move(*read));
      continue;
    }
    unusable.emplace(key, item.changed);
    NoteUnusable(key, item.changed, whyNot);
  }
  mUnusable = std::move(unusable);
  return servers;
}

// One line for each entry and change of it.
void
control::NoteUnusable(const std::string& aKey,
                      store::revision aChanged,
                      std::error_code aWhyNot) const
{
  const auto found = mUnusable.find(aKey);
  if (found != mUnusable.end() && found->second == aChanged) {
    return;
  }
  mMetrics.EntryUnusable(aWhyNot.message());
  log::Write(log::level::kWarning,
             "server_unusable",
             { { "key", aKey },
               { "reason", aWhyNot.message() },
               { "changed", static_cast<std::int64_t>(aChanged.number) } });
}

// One line for each server whose standing has changed, so that it can be told
// when this VM knew that a server leaves, and how it came to know.
void
control::NoteServers(const std::vector<server_news>& aNews,
                     list_source aSource) const
{
  for (const auto& one : aNews) {
    const auto* lead = Find(one.server.service);
    const bool leads =
      lead != nullptr && lead->lead.Proof().primary == one.server.id;
    mMetrics.ServerStands(NameOf(one.standing));
    log::Write(
      log::level::kInfo,
      "server_standing",
      { { "server", one.server.id },
        { "service", one.server.service },
        { "standing", std::string(NameOf(one.standing)) },
        { "started_at_ms",
          static_cast<std::int64_t>(
            one.server.startedAt.time_since_epoch().count()) },
        { "is_primary", leads },
        { "learned_by", std::string(NameOf(aSource)) },
        { "revision", static_cast<std::int64_t>(mServersView.Seen().number) },
        { "store_era", static_cast<std::int64_t>(mServersView.Seen().era) } });
  }
}

void
control::ConfigureGroups(clock::time_point aNow)
{
  absl::btree_map<std::string, std::vector<lead::member>> members;
  for (const auto& one : mServers.Servers()) {
    members[one.service].push_back(
      { one.id,
        one.failureDomain == mSettings.failureDomain,
        one.draining,
        one.startedAt });
  }
  for (auto& [service, listed] : members) {
    auto& place = mGroups[service];
    if (place == nullptr) {
      place = std::make_unique<group>(mLeadSettings);
      place->lead.SetMayAsk(mRegistration.IsWritten());
    }
    place->lead.Configure(listed, aNow);
  }
  NoteNext();
}

} // namespace currantshed::node

// Which servers there are, as the store lists them.
#include "currantshed/node/control.hpp"

#include <utility>

#include "currantshed/log/log.hpp"

namespace currantshed::node {

void
control::ServersChanged(clock::time_point aNow)
{
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
      { "revision", static_cast<std::int64_t>(mServersView.Seen()) } });
  mTraffic.SetServers(mServers.Servers());
  UpdateReadiness(aNow);
  Perform(aNow);
}

std::vector<proxy::server>
control::ReadServers() const
{
  std::vector<proxy::server> servers;
  for (const auto& [key, item] : mServersView.Items()) {
    std::string whyNot;
    if (auto read = mDocuments.ReadServer(key, item.value, whyNot)) {
      servers.push_back(std::move(*read));
    } else {
      log::Write(log::level::kError,
                 "server_unreadable",
                 { { "key", key }, { "reason", whyNot } });
    }
  }
  return servers;
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
        { "revision", static_cast<std::int64_t>(mServersView.Seen()) } });
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
}

} // namespace currantshed::node

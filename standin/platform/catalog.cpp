#include "standin/platform/catalog.hpp"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

namespace currantshed::standin {

namespace {

namespace json = boost::json;

constexpr std::string_view kLive = "live";
constexpr std::string_view kLeaving = "leaving";
constexpr std::string_view kGone = "gone";

template<typename Entry>
Entry*
FindById(std::vector<Entry>& aEntries, std::string_view aId)
{
  const auto found =
    std::find_if(aEntries.begin(), aEntries.end(), [aId](const Entry& aEntry) {
      return aEntry.id == aId;
    });
  return found == aEntries.end() ? nullptr : &*found;
}

json::object
ServiceJson(const std::string& aId,
            const std::string& aAddress,
            std::uint16_t aPort,
            const char* aService,
            json::object aMeta)
{
  json::object service;
  service["Node"] = aId;
  service["Address"] = aAddress;
  service["ServiceName"] = aService;
  service["ServiceAddress"] = aAddress;
  service["ServicePort"] = aPort;
  service["ServiceMeta"] = std::move(aMeta);
  return service;
}

json::object
VmJson(const vm_entry& aVm)
{
  json::object meta;
  meta["failure_domain"] = aVm.failureDomain;
  meta["peer_port"] = std::to_string(aVm.peerPort);
  meta["status_port"] = std::to_string(aVm.statusPort);
  meta["leaving"] = aVm.leaving ? "true" : "false";
  return ServiceJson(
    aVm.id, aVm.address, aVm.requestPort, "currantshed", std::move(meta));
}

json::object
UpstreamJson(const upstream_entry& aUpstream)
{
  json::object meta;
  meta["group"] = aUpstream.group;
  meta["failure_domain"] = aUpstream.failureDomain;
  meta["slots"] = std::to_string(aUpstream.slots);
  meta["connections"] = std::to_string(aUpstream.connections);
  meta["leaving"] = aUpstream.leaving ? "true" : "false";
  return ServiceJson(aUpstream.id,
                     aUpstream.address,
                     aUpstream.port,
                     "upstream",
                     std::move(meta));
}

} // namespace

catalog::catalog(catalog_content aContent, std::chrono::milliseconds aLag)
  : mLag(aLag)
  , mLatest(std::move(aContent))
  , mVisible(mLatest)
{
}

void
catalog::Replace(catalog_content aContent, clock::time_point aNow)
{
  mLatest = std::move(aContent);
  QueueChange(aNow);
}

bool
catalog::SetVm(std::string_view aId,
               std::string_view aState,
               clock::time_point aNow)
{
  auto* found = FindById(mLatest.vms, aId);
  const bool known = aState == kLive || aState == kLeaving || aState == kGone;
  if (found == nullptr || !known) {
    return false;
  }
  found->leaving = aState == kLeaving;
  found->gone = aState == kGone;
  QueueChange(aNow);
  return true;
}

bool
catalog::SetUpstream(std::string_view aId,
                     std::string_view aState,
                     clock::time_point aNow)
{
  auto* found = FindById(mLatest.upstreams, aId);
  if (found == nullptr || (aState != kLive && aState != kLeaving)) {
    return false;
  }
  found->leaving = aState == kLeaving;
  QueueChange(aNow);
  return true;
}

void
catalog::SetLag(std::chrono::milliseconds aLag)
{
  mLag = aLag;
}

std::string
catalog::VmsJson(clock::time_point aNow)
{
  ApplyDueChanges(aNow);
  json::array list;
  for (const auto& vm : mVisible.vms) {
    if (!vm.gone) {
      list.push_back(VmJson(vm));
    }
  }
  return json::serialize(list);
}

std::string
catalog::UpstreamsJson(clock::time_point aNow)
{
  ApplyDueChanges(aNow);
  json::array list;
  for (const auto& upstream : mVisible.upstreams) {
    list.push_back(UpstreamJson(upstream));
  }
  return json::serialize(list);
}

void
catalog::QueueChange(clock::time_point aNow)
{
  mPending.push_back({ aNow + mLag, mLatest });
}

void
catalog::ApplyDueChanges(clock::time_point aNow)
{
  while (!mPending.empty() && mPending.front().visibleAt <= aNow) {
    mVisible = std::move(mPending.front().content);
    mPending.pop_front();
  }
}

} // namespace currantshed::standin

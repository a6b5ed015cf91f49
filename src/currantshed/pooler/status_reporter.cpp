#include "currantshed/pooler/status_reporter.hpp"

#include <chrono>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace currantshed::pooler {

namespace {

/// Time after which a traffic thread that has not reported counts as stalled.
constexpr std::chrono::seconds kTrafficTimeout{ 2 };

boost::json::object
Describe(const group_status& aGroup)
{
  boost::json::object object;
  object["group"] = aGroup.latestTerm.group;
  object["term"] = aGroup.latestTerm.term;
  object["primary"] = aGroup.latestTerm.primary;
  if (aGroup.rank >= 0) {
    object["rank"] = aGroup.rank;
  }
  return object;
}

} // namespace

status_reporter::status_reporter(const settings& aSettings)
  : mSettings(aSettings)
{
}

void
status_reporter::SetControl(control_status aStatus)
{
  const std::lock_guard lock(mMutex);
  mControl = std::move(aStatus);
}

void
status_reporter::MarkTrafficAlive(clock::time_point aNow)
{
  const std::lock_guard lock(mMutex);
  mTrafficAliveAt = aNow;
}

bool
status_reporter::Ready() const
{
  const std::lock_guard lock(mMutex);
  const auto silence = std::chrono::steady_clock::now() - mTrafficAliveAt;
  const bool hasAll = mControl.configurationVersion > 0 && mControl.hasList;
  return hasAll && !mControl.isLeaving && silence <= kTrafficTimeout;
}

std::string
status_reporter::StatusJson() const
{
  const bool isReady = Ready();
  const std::lock_guard lock(mMutex);
  boost::json::array groups;
  for (const auto& group : mControl.groups) {
    groups.push_back(Describe(group));
  }
  boost::json::object object;
  object["vm"] = mSettings.self.id;
  object["failure_domain"] = mSettings.self.failureDomain;
  object["incarnation"] = mSettings.incarnation;
  object["ready"] = isReady;
  object["configuration_version"] = mControl.configurationVersion;
  object["groups"] = std::move(groups);
  return boost::json::serialize(object);
}

} // namespace currantshed::pooler

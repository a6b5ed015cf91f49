#include "currantshed/pooler/platform_link.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "currantshed/log/log.hpp"
#include "currantshed/policy/configuration_record.hpp"

namespace currantshed::pooler {

namespace {

/// Interval at which a VM that does not watch reads the key itself.
constexpr std::chrono::seconds kFallbackReadInterval{ 30 };
/// Listing interval per VM of the fleet; limits the fleet to 200 reads per
/// second.
constexpr std::chrono::milliseconds kListIntervalPerVm{ 5 };
/// The listing interval is kept unless the new one differs by more than a
/// quarter.
constexpr int kFleetChangeDivisor = 4;

clock::time_point
Now()
{
  return std::chrono::steady_clock::now();
}

store::lister_settings
ListerSettings(std::chrono::milliseconds aInterval)
{
  store::lister_settings lister;
  lister.interval = aInterval;
  return lister;
}

} // namespace

std::chrono::milliseconds
ListInterval(std::chrono::milliseconds aSetting, std::size_t aVms)
{
  return std::max(aSetting, kListIntervalPerVm * static_cast<int>(aVms));
}

platform_link::platform_link(boost::asio::io_context& aContext,
                             const settings& aSettings,
                             store::client& aClient,
                             metrics& aMetrics,
                             listener aListener)
  : mClient(aClient)
  , mMetrics(aMetrics)
  , mListSetting(aSettings.listInterval)
  , mListInterval(aSettings.listInterval)
  , mListener(std::move(aListener))
  , mLister(ListerSettings(aSettings.listInterval), Now())
  , mWatcher(store::watcher_settings{}, Now())
  , mTimer(aContext, [this] { Tick(); })
{
}

void
platform_link::Start()
{
  Tick();
}

void
platform_link::SetWatching(bool aIsWatching)
{
  mIsWatching = aIsWatching;
  if (mIsWatching && mDeferredWatch) {
    mTimer.ScheduleAt(Now());
  }
}

void
platform_link::SetFleetSize(std::size_t aVms)
{
  const auto interval = ListInterval(mListSetting, aVms);
  const auto change = interval > mListInterval ? interval - mListInterval
                                               : mListInterval - interval;
  const bool isBusy = !mLister.NextTick();
  if (isBusy || change <= mListInterval / kFleetChangeDivisor) {
    return;
  }
  mListInterval = interval;
  mLister = store::lister(ListerSettings(interval), Now());
  mTimer.ScheduleAt(Now());
}

void
platform_link::Tick()
{
  TickLister();
  TickWatcher();
  if (const auto due = mLister.NextTick()) {
    mTimer.ScheduleAt(*due);
  }
  if (const auto due = mWatcher.NextTick()) {
    mTimer.ScheduleAt(*due);
  }
  if (mDeferredWatch) {
    mTimer.ScheduleAt(mDeferredUntil);
  }
}

void
platform_link::TickLister()
{
  if (!mLister.Tick(Now())) {
    return;
  }
  mClient.List([this](std::error_code aError, store::listing aListing) {
    ListEnded(aError, std::move(aListing));
  });
}

void
platform_link::TickWatcher()
{
  mWatcher.Tick(Now());
  for (const auto& action : mWatcher.TakeActions()) {
    if (const auto* start = std::get_if<store::start_watch>(&action)) {
      mDeferredWatch = *start;
      mDeferredUntil = Now() + kFallbackReadInterval;
    } else {
      mListener.configured(std::get<store::deliver_entry>(action).content);
    }
  }
  const bool isFirst = mDeferredWatch && !mWatcher.LastAnswer();
  if (mDeferredWatch && (isFirst || mIsWatching || Now() >= mDeferredUntil)) {
    StartWatch(*std::exchange(mDeferredWatch, std::nullopt));
  }
}

void
platform_link::StartWatch(const store::start_watch& aAction)
{
  mClient.Watch(std::string(policy::kConfigurationKey),
                aAction.known,
                mIsWatching ? aAction.maxWait : std::chrono::milliseconds(0),
                [this](std::error_code aError, const store::entry& aEntry) {
                  WatchEnded(aError, aEntry);
                });
}

void
platform_link::WatchEnded(std::error_code aError, const store::entry& aEntry)
{
  mMetrics.CountPlatformCall("watch_configuration", !aError);
  mWatcher.Ended(aError, aEntry, Now(), Random());
  Tick();
}

void
platform_link::ListEnded(std::error_code aError, store::listing aListing)
{
  mMetrics.CountPlatformCall("list", !aError);
  mLister.Ended(aError, Now(), Random());
  if (aError) {
    log::Write(log::level::kWarning,
               "platform_list_failed",
               { { "reason", aError.message() } });
  } else {
    mListener.listed(std::move(aListing));
  }
  Tick();
}

double
platform_link::Random()
{
  return absl::Uniform(mBits, 0.0, 1.0);
}

} // namespace currantshed::pooler

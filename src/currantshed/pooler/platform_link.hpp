#ifndef CURRANTSHED_POOLER_PLATFORM_LINK_HPP
#define CURRANTSHED_POOLER_PLATFORM_LINK_HPP

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <system_error>

#include <absl/random/random.h>
#include <boost/asio/io_context.hpp>

#include "currantshed/net/tick_timer.hpp"
#include "currantshed/pooler/fwd.hpp"
#include "currantshed/pooler/metrics.hpp"
#include "currantshed/pooler/settings.hpp"
#include "currantshed/store/client.hpp"
#include "currantshed/store/lister.hpp"
#include "currantshed/store/watcher.hpp"

namespace currantshed::pooler {

/// Time between two readings of the platform's lists by one VM: the setting,
/// or longer in a large fleet, so that all VMs' readings together stay below a
/// bound.
[[nodiscard]] std::chrono::milliseconds
ListInterval(std::chrono::milliseconds aSetting, std::size_t aVms);

/// What one pooler hears from the platform by itself: the lists, read again
/// and again, and the configuration's key, watched. In a large fleet only a
/// few VMs of each failure domain watch; the others hear of a new version from
/// their peers, and look for themselves now and then.
class platform_link
{
public:
  /// What the control thread hears.
  struct listener
  {
    std::function<void(store::listing)> listed;
    std::function<void(const store::entry&)> configured;
  };

  platform_link(boost::asio::io_context& aContext,
                const settings& aSettings,
                store::client& aClient,
                metrics& aMetrics,
                listener aListener);
  platform_link(const platform_link&) = delete;
  platform_link& operator=(const platform_link&) = delete;

  void Start();

  /// Whether this VM is one of those that watch.
  void SetWatching(bool aIsWatching);

  /// How many VMs are live.
  void SetFleetSize(std::size_t aVms);

private:
  void Tick();
  void TickLister();
  void TickWatcher();
  void StartWatch(const store::start_watch& aAction);
  void WatchEnded(std::error_code aError, const store::entry& aEntry);
  void ListEnded(std::error_code aError, store::listing aListing);
  [[nodiscard]] double Random();

  store::client& mClient;
  metrics& mMetrics;
  std::chrono::milliseconds mListSetting;
  std::chrono::milliseconds mListInterval;
  listener mListener;
  store::lister mLister;
  store::watcher mWatcher;
  bool mIsWatching = true;
  /// A watch that waits until this VM watches, or looks for itself.
  std::optional<store::start_watch> mDeferredWatch;
  clock::time_point mDeferredUntil;
  absl::BitGen mBits;
  net::tick_timer mTimer;
};

} // namespace currantshed::pooler

#endif

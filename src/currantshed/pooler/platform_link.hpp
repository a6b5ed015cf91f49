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

/// Interval at which one VM reads the platform's listing: the configured
/// interval, or a longer one in a large fleet, so that the rate of reads by all
/// VMs stays bounded.
[[nodiscard]] std::chrono::milliseconds
ListInterval(std::chrono::milliseconds aSetting, std::size_t aVms);

/// Reads the platform's listing periodically and watches the key of the
/// configuration. In a large fleet only a few VMs of each failure domain watch;
/// the others learn of a new version from their peers, and read the key
/// themselves at a longer interval.
class platform_link
{
public:
  /// Callbacks to the control thread.
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

  /// Sets whether this VM watches the configuration.
  void SetWatching(bool aIsWatching);

  /// Sets the number of live VMs.
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
  /// A watch that is deferred until this VM becomes a watcher or its next
  /// fallback read is due.
  std::optional<store::start_watch> mDeferredWatch;
  clock::time_point mDeferredUntil;
  absl::BitGen mBits;
  net::tick_timer mTimer;
};

} // namespace currantshed::pooler

#endif

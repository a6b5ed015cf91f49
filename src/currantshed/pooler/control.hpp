#ifndef CURRANTSHED_POOLER_CONTROL_HPP
#define CURRANTSHED_POOLER_CONTROL_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <zmq.hpp>

#include "currantshed/member/membership.hpp"
#include "currantshed/net/tick_timer.hpp"
#include "currantshed/pooler/declared_limits.hpp"
#include "currantshed/pooler/fwd.hpp"
#include "currantshed/pooler/group_monitors.hpp"
#include "currantshed/pooler/latest_configuration.hpp"
#include "currantshed/pooler/latest_listing.hpp"
#include "currantshed/pooler/metrics.hpp"
#include "currantshed/pooler/peer_links.hpp"
#include "currantshed/pooler/platform_link.hpp"
#include "currantshed/pooler/settings.hpp"
#include "currantshed/pooler/status_reporter.hpp"
#include "currantshed/pooler/traffic.hpp"
#include "currantshed/store/client.hpp"
#include "currantshed/upstream/dialect.hpp"

namespace currantshed::pooler {

/// The control thread: reads the listing and the configuration from the
/// platform, exchanges heartbeats with other poolers, and runs one monitor for
/// each group that this pooler owns. Passes the groups and the view for
/// gateways to the traffic thread.
class control
{
public:
  control(const settings& aSettings,
          zmq::context_t& aZmq,
          metrics& aMetrics,
          status_reporter& aStatusReporter,
          traffic& aTraffic);
  control(const control&) = delete;
  control& operator=(const control&) = delete;
  ~control();

  /// Binds the peer port and starts the thread.
  [[nodiscard]] std::error_code Start();

  /// Announces to the peers at once that this VM is leaving. May be called from
  /// any thread.
  void Leave();

  /// Stops and joins the thread.
  void Stop();

private:
  void OnMessage(wire::message aMessage,
                 std::size_t aBytes,
                 const peer_links::responder& aRespond);
  void OnHeartbeat(const member::heartbeat& aBeat, std::size_t aBytes);
  void SendHeartbeats();
  void RequestConfiguration(const peer_address& aPeer);
  void RequestFromPeers();
  void Listed(store::listing aListing);
  void OnConfigurationEntry(const store::entry& aEntry);
  void OnPeerConfiguration(const wire::configuration& aUpdate);
  void ApplyIfNewer(const wire::configuration& aOffered);
  void TickMembership();
  void UpdateAssignments();
  void UpdateTraffic();
  void UpdateStatus();
  void RunMaintenance();
  [[nodiscard]] group_monitor::listener MakeMonitorListener();
  [[nodiscard]] bool IsWatcher() const;
  [[nodiscard]] int RankOf(const std::vector<store::vm>& aOwners) const;

  const settings& mSettings;
  metrics& mMetrics;
  status_reporter& mStatusReporter;
  traffic& mTraffic;
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::unique_ptr<upstream::dialect> mDialect;
  std::unique_ptr<store::client> mPlatform;
  platform_link mPlatformLink;
  peer_links mPeers;
  std::unique_ptr<member::membership> mMembership;
  std::uint64_t mSeenMembershipVersion = 0;
  latest_configuration mConfiguration;
  clock::time_point mLastPeerRequestAt;
  latest_listing mListing;
  declared_limits mDeclaredLimits;
  group_monitors mMonitors;
  bool mIsLeaving = false;
  net::tick_timer mMembershipTimer;
  net::tick_timer mMaintenanceTimer;
  std::thread mThread;
};

} // namespace currantshed::pooler

#endif

#ifndef CURRANTSHED_POOLER_TRAFFIC_HPP
#define CURRANTSHED_POOLER_TRAFFIC_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <zmq.hpp>

#include "currantshed/net/router.hpp"
#include "currantshed/net/tick_timer.hpp"
#include "currantshed/pooler/fwd.hpp"
#include "currantshed/pooler/group_runner.hpp"
#include "currantshed/pooler/metrics.hpp"
#include "currantshed/pooler/ownership.hpp"
#include "currantshed/pooler/settings.hpp"
#include "currantshed/pooler/status_reporter.hpp"
#include "currantshed/pooler/view_publisher.hpp"
#include "currantshed/upstream/dialect.hpp"
#include "currantshed/wire/codec.hpp"

namespace currantshed::pooler {

/// The groups listed by the platform, and those for which this pooler is the
/// first owner.
struct group_assignment
{
  std::vector<group::description> groups;
  std::vector<group::group_name> led;
};

/// The traffic thread: receives gateways' requests at the request port,
/// dispatches each to the engine of its group, and returns the answers. The
/// engine of a group is created when this pooler becomes its first owner or
/// receives a request for it.
class traffic
{
public:
  traffic(const settings& aSettings,
          zmq::context_t& aZmq,
          metrics& aMetrics,
          status_reporter& aStatusReporter);
  traffic(const traffic&) = delete;
  traffic& operator=(const traffic&) = delete;
  ~traffic();

  /// Binds the request port and starts the thread.
  [[nodiscard]] std::error_code Start();

  /// Stops the thread and discards the work in progress.
  void Stop();

  // The functions below may be called from any thread. They take effect on the
  // traffic thread in the order of the calls.

  void Assign(group_assignment aAssignment);
  void Publish(wire::view aView);

  /// Sets whether new requests are redirected to the group's next owner because
  /// this pooler cannot reach the primary. Open transactions continue here.
  void SetRedirected(const group::group_name& aGroup, bool aIsOn);

  /// Stops accepting new work. Calls back on the traffic thread once nothing is
  /// pending and no request has arrived for a quiet period; requests that keep
  /// arriving are refused for a bounded time with the reason that this pooler
  /// is leaving.
  void Drain(std::function<void()> aDone);

private:
  /// Origin of a request, to which its answer is sent.
  struct origin
  {
    std::string peer;
    group::request_id id = 0;
    group::group_name group;
    clock::time_point arrivedAt;
  };

  void OnMessage(std::string_view aPeer, std::string_view aBytes);
  void Handle(const std::string& aPeer, wire::group_request&& aRequest);
  void Handle(const std::string& aPeer, const wire::cancel_request& aRequest);
  void Handle(const std::string& aPeer,
              const wire::subscribe_request& aRequest);
  [[nodiscard]] bool IsRedirected(const wire::group_request& aRequest) const;
  void Submit(const std::string& aPeer, wire::group_request&& aRequest);
  void Refuse(const std::string& aPeer,
              group::request_id aId,
              outcome::verdict aVerdict,
              outcome::reason aWhy);
  void Answer(group::answer aAnswer);
  void Reply(const std::string& aPeer, group::answer aAnswer);
  void Deliver(const std::vector<view_publisher::delivery>& aViews);
  void ApplyAssignment(const group_assignment& aAssignment);
  [[nodiscard]] group_runner* RunnerOf(const group::group_name& aGroup);
  void RunMaintenance();
  void CheckDrained(clock::time_point aNow);
  [[nodiscard]] std::size_t Pending() const;

  const settings& mSettings;
  metrics& mMetrics;
  status_reporter& mStatusReporter;
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::unique_ptr<upstream::dialect> mDialect;
  net::router mRouter;
  view_publisher mViews;
  ownership mOwnership;
  bool mHasList = false;
  absl::flat_hash_map<group::group_name, group::description> mGroups;
  absl::flat_hash_map<group::group_name, std::unique_ptr<group_runner>>
    mRunners;
  absl::flat_hash_set<group::group_name> mRedirected;
  absl::flat_hash_map<group::request_id, origin> mOrigins;
  group::request_id mLastRequest = 0;
  std::function<void()> mDrained;
  bool mIsDraining = false;
  /// Arrival time of the last request.
  clock::time_point mLastArrival;
  /// Time since which nothing has been pending while draining.
  std::optional<clock::time_point> mEmptySince;
  net::tick_timer mTimer;
  std::thread mThread;
};

} // namespace currantshed::pooler

#endif

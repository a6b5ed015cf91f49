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

/// The groups that the platform lists, and those that this pooler leads.
struct group_assignment
{
  std::vector<group::description> groups;
  std::vector<group::group_name> led;
};

/// The traffic thread: takes gateways' requests at the request port, hands
/// each to its group's engine, and sends the answers back. A group gets an
/// engine when this pooler comes to lead it or is asked for it.
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

  /// Listens at the request port and starts the thread.
  [[nodiscard]] std::error_code Start();

  /// Ends the thread; what is under way is dropped.
  void Stop();

  // The rest may be called on any thread, and takes effect on the traffic
  // thread in the order of the calls.

  void Assign(group_assignment aAssignment);
  void Publish(wire::view aView);

  /// Whether gateways are to ask the group's next owner, since this pooler
  /// can't reach the primary. Open transactions go on here.
  void SetRedirected(const group::group_name& aGroup, bool aIsOn);

  /// Takes no new work, and calls back on the traffic thread once nothing is
  /// pending and no request has come for a moment; gateways that go on asking
  /// are told for a short while that this pooler leaves.
  void Drain(std::function<void()> aDone);

private:
  /// Where an answer goes.
  struct origin
  {
    std::string peer;
    group::request_id id = 0;
    group::group_name group;
    clock::time_point arrivedAt;
  };

  void Received(std::string_view aPeer, std::string_view aBytes);
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
  /// When a request came last.
  clock::time_point mLastArrival;
  /// When nothing was pending for the first time in a shutdown.
  std::optional<clock::time_point> mEmptySince;
  net::tick_timer mTimer;
  std::thread mThread;
};

} // namespace currantshed::pooler

#endif

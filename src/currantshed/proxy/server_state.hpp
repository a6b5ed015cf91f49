#ifndef CURRANTSHED_PROXY_SERVER_STATE_HPP
#define CURRANTSHED_PROXY_SERVER_STATE_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/admit/concurrency_limit.hpp"
#include "currantshed/balance/outlier_detector.hpp"
#include "currantshed/clock/time.hpp"
#include "currantshed/confirm/position_samples.hpp"
#include "currantshed/proxy/connection.hpp"
#include "currantshed/proxy/connection_shares.hpp"

namespace currantshed::proxy {

/// What this process knows about one server, and its connections to it.
class server_state
{
public:
  server_state(server aListed, bool aIsNear);

  /// Applies the platform's current listing. When the server has restarted, all
  /// knowledge about its former incarnation is dropped, and existing
  /// connections get no new work.
  void Update(const server& aListed, clock::time_point aNow);

  /// Whether information that was requested at that time applies to the
  /// server's current incarnation.
  [[nodiscard]] bool IsOfCurrentIncarnation(
    clock::time_point aAskedAt) const noexcept
  {
    return aAskedAt >= mIncarnationSince;
  }

  /// Number of connections with pending commands.
  [[nodiscard]] unsigned Running() const;
  /// What this VM occupies of the server's slots: statements in flight on
  /// direct connections, and direct connections being opened. A transaction
  /// occupies one only while one of its statements is in flight.
  [[nodiscard]] unsigned InFlight(clock::time_point aNow) const;
  /// Number of connections being opened, direct or relayed.
  [[nodiscard]] unsigned Opening(bool aDirect) const;
  /// Number of connections, direct or relayed.
  [[nodiscard]] std::size_t Count(bool aDirect) const;

  /// An idle connection, preferably a direct one, then one that has the
  /// session's values; null when there is none. With a customer, only
  /// connections that serve it.
  [[nodiscard]] connection* FindIdle(const session_values& aValues,
                                     bool aOnlyDirect,
                                     const std::string* aCustomer = nullptr);

  /// Path on which a connection for the customer may be opened now, or null.
  [[nodiscard]] const path* PathToOpen(clock::time_point aNow,
                                       const std::string& aCustomer = {}) const;

  /// Whether a direct connection for the customer may be opened: the limit
  /// allows one, or an idle connection of another customer can be closed for
  /// it; and that helps more than to wait for a busy one of the customer.
  [[nodiscard]] bool MayOpenFor(const std::string& aCustomer,
                                clock::time_point aNow) const;

  /// Whether this VM has fewer direct connections than the limit.
  [[nodiscard]] bool HasRoom(std::size_t aLimit, clock::time_point aNow) const;

  /// Whether there is a direct connection for the customer that gets work.
  [[nodiscard]] bool HasDirectFor(const std::string& aCustomer) const;

  /// The idle direct connection that is closed to open one for the customer;
  /// null when there is room, or none may be closed.
  [[nodiscard]] connection* ConnectionToClose(const std::string& aCustomer,
                                              clock::time_point aNow) const;

  /// Whether another direct connection may be opened.
  [[nodiscard]] bool MayOpenDirect(std::size_t aLimit,
                                   clock::time_point aNow) const;

  /// Whether it may get new work: it is listed, and has not been draining for
  /// longer than the grace period.
  [[nodiscard]] bool AcceptsWork(std::chrono::milliseconds aDrainGracePeriod,
                                 clock::time_point aNow) const;

  /// Whether it has failed recently and is avoided for now.
  [[nodiscard]] bool IsAvoided(clock::time_point aNow) const;

  /// Whether any path to the server, direct or relayed, is not avoided.
  [[nodiscard]] bool IsReachable(clock::time_point aNow) const;

  /// Estimated latency of a statement sent now.
  [[nodiscard]] clock::duration ExpectedLatency(clock::time_point aNow) const;

  /// Estimated replication lag. A lag observed from a rejected read decays with
  /// time: without statements nothing else would show that the replica has
  /// caught up.
  [[nodiscard]] clock::duration Lag(clock::time_point aNow) const;

  /// Records a complete answer to a statement that was sent at the given time.
  void ObserveLatency(clock::time_point aSentAt, clock::time_point aNow);

  /// Records the log position that the server reported.
  void ObservePosition(const position::log_position& aPosition,
                       const confirm::position_samples& aPrimary,
                       clock::time_point aNow);

  /// Records that the server lacked a position written by then.
  void ObserveLag(clock::time_point aWrittenBy, clock::time_point aNow);

  /// Records the lag that a connection holder has reported. A smaller one than
  /// known here counts half: the holder may have seen no recent position.
  void ObserveReportedLag(clock::duration aLag, clock::time_point aNow);

  /// Records that a direct connection failed or could not be opened.
  void ObserveFailure(clock::time_point aNow);

  /// Records the same for a connection through a relay.
  void ObserveRelayFailure(const std::string& aVm, clock::time_point aNow);

  /// Records that the relay can't reach the server: the path is avoided, and
  /// its connections get no more work.
  void ObserveUnreachableThrough(const std::string& aVm,
                                 clock::time_point aNow);

  /// Records that the server is at its connection limit.
  void ObserveServerFull(clock::time_point aNow);

  server listed;
  access_plan plan;
  /// Version of the fleet and configuration that the plan was made for; zero
  /// without a plan.
  std::uint64_t planEpoch = 0;
  /// Limit of InFlight for new requests; empty where none applies.
  std::optional<admit::concurrency_limit> limit;
  /// Earliest time at which the server may have announced that it drains, if it
  /// does.
  std::optional<clock::time_point> drainingSince;
  /// No longer listed by the platform; removed once it has no connections.
  bool unlisted = false;
  std::vector<std::unique_ptr<connection>> connections;
  std::optional<position::log_position> applied;
  clock::time_point lastContactAt;
  /// Load that a connection holder has reported with an answer, and when.
  std::optional<server_load> reportedLoad;
  clock::time_point reportedLoadAt;
  balance::outlier_detector health;
  /// Last reachability reported to the host.
  bool reachable = false;
  /// What is known about the customers that use direct connections.
  connection_shares shares;

private:
  /// Connections being opened, in total and those that are slow.
  struct opening_counts
  {
    unsigned all = 0;
    unsigned slow = 0;
  };

  /// What the shares decide for a customer without an idle connection.
  [[nodiscard]] opening_decision DecideOpening(const std::string& aCustomer,
                                               clock::time_point aNow) const;
  [[nodiscard]] opening_counts CountOpening(const std::string& aVm,
                                            clock::time_point aNow) const;
  void ResetForNewIncarnation(clock::time_point aNow);
  /// Whether a connection may be requested from the server now.
  [[nodiscard]] bool MayConnect(clock::time_point aNow) const;
  [[nodiscard]] bool IsRelayAvoided(const std::string& aVm,
                                    clock::time_point aNow) const;
  /// Whether direct connections fail, or take too long to open.
  [[nodiscard]] bool IsCutOff(clock::time_point aNow) const;

  // When this VM learned of the current incarnation.
  clock::time_point mIncarnationSince{};
  clock::duration mDefaultLatency;
  clock::duration mMeanLatency;
  clock::time_point mMeanLatencyAt;
  clock::duration mLag;
  clock::time_point mLagAt;
  unsigned mFailures = 0;
  clock::time_point mAvoidUntil;
  clock::time_point mNoOpenUntil;
  struct relay_failures
  {
    unsigned count = 0;
    clock::time_point avoidUntil;
  };
  absl::btree_map<std::string, relay_failures> mRelayFailures;
};

} // namespace currantshed::proxy

#endif

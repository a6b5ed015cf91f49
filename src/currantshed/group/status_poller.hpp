#ifndef CURRANTSHED_GROUP_STATUS_POLLER_HPP
#define CURRANTSHED_GROUP_STATUS_POLLER_HPP

#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/group/engine.hpp"

namespace currantshed::group {

/// Load of the engine that determines how often to poll.
struct poll_demand
{
  /// Whether some request can only continue after a newer status.
  bool hasWaiters = false;
  /// Requests in the engine. A single request does not wait for others to share
  /// its status request; with many requests, each status request is shared by
  /// more of them.
  std::size_t requests = 0;
};

/// Decides when to request the status of each server: at the usual interval,
/// and as soon as the last answer has arrived while a request waits for a newer
/// status. All waiting requests share the same status requests. At most one is
/// in flight per server.
class status_poller
{
public:
  explicit status_poller(const engine_settings& aSettings);

  void SetMembers(const std::vector<upstream::server_id>& aServers);

  /// The status of the server arrived, or the status request failed.
  void Answered(const upstream::server_id& aServer);
  void Failed(const upstream::server_id& aServer);

  /// Some request will need statuses that are requested after the given time.
  void RequireStatusSince(clock::time_point aAskedSince);

  /// Returns the servers whose status is to be requested now, and records the
  /// requests as sent.
  [[nodiscard]] std::vector<upstream::server_id> TakeDue(
    const poll_demand& aDemand,
    clock::time_point aNow);

  /// When TakeDue is to be called next.
  [[nodiscard]] clock::time_point NextDue(const poll_demand& aDemand) const;

private:
  struct request_state
  {
    upstream::server_id server;
    bool inFlight = false;
    bool failed = false;
    bool wasSent = false;
    clock::time_point sentAt;
  };

  [[nodiscard]] clock::time_point DueAt(const request_state& aRequest,
                                        const poll_demand& aDemand) const;
  [[nodiscard]] request_state* Find(const upstream::server_id& aServer);

  std::chrono::milliseconds mInterval;
  std::chrono::milliseconds mTimeout;
  clock::time_point mRequiredSince = clock::time_point::min();
  std::vector<request_state> mRequests;
};

} // namespace currantshed::group

#endif

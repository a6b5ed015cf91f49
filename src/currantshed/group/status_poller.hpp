#ifndef CURRANTSHED_GROUP_STATUS_POLLER_HPP
#define CURRANTSHED_GROUP_STATUS_POLLER_HPP

#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/group/engine.hpp"

namespace currantshed::group {

/// What the engine's requests ask of the rounds.
struct poll_demand
{
  /// Whether nothing but newer words can help some request on.
  bool hasWaiters = false;
  /// Requests in the engine. One that is alone is not kept waiting for
  /// others to share its question; many share each one.
  std::size_t requests = 0;
};

/// When each server is asked for its status: at the usual interval, and as
/// soon as the last answer is in while somebody waits for newer words. All
/// who wait share the same questions. One question a server is under way.
class status_poller
{
public:
  explicit status_poller(const engine_settings& aSettings);

  void SetMembers(const std::vector<upstream::server_id>& aServers);

  /// The server answered, or the question failed.
  void Answered(const upstream::server_id& aServer);
  void Failed(const upstream::server_id& aServer);

  /// Somebody will need words asked for since the given time.
  void RequireStatusSince(clock::time_point aAskedSince);

  /// The servers to be asked now.
  [[nodiscard]] std::vector<upstream::server_id> TakeDue(
    const poll_demand& aDemand,
    clock::time_point aNow);

  /// When Due is to be asked again.
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

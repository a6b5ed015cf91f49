#ifndef CURRANTSHED_PROXY_SERVER_STATE_HPP
#define CURRANTSHED_PROXY_SERVER_STATE_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/confirm/position_samples.hpp"
#include "currantshed/proxy/connection.hpp"

namespace currantshed::proxy {

/// What this process has seen of one server, and its connections there.
class server_state
{
public:
  server_state(server aListed, bool aIsNear);

  /// Takes over what the platform lists of it now. Of a server that has
  /// started again all that was believed is given up, and its connections take
  /// no new work.
  void Update(const server& aListed, clock::time_point aNow);

  /// Whether something that was asked for then may be believed of this life of
  /// the server.
  [[nodiscard]] bool IsOfCurrentIncarnation(
    clock::time_point aAskedAt) const noexcept
  {
    return aAskedAt >= mIncarnationSince;
  }

  /// Commands under way.
  [[nodiscard]] unsigned Running() const;
  /// Connections that are being opened, direct ones or others.
  [[nodiscard]] unsigned Opening(bool aDirect) const;
  /// Connections, direct ones or others.
  [[nodiscard]] std::size_t Count(bool aDirect) const;

  /// An idle connection: a direct one if there is one, and one that has the
  /// session's values. With a customer, one that serves it.
  [[nodiscard]] connection* FindIdle(const session_values& aValues,
                                     bool aOnlyDirect,
                                     const std::string* aCustomer = nullptr);

  /// The way on which another connection for the customer may be opened now, or
  /// null.
  [[nodiscard]] const path* PathToOpen(clock::time_point aNow,
                                       const std::string& aCustomer = {}) const;

  /// Whether a direct connection for the customer may be opened: there is room,
  /// or an idle one of another customer can make some.
  [[nodiscard]] bool MayOpenFor(const std::string& aCustomer,
                                clock::time_point aNow) const;

  /// Whether this VM may have more direct connections than it has.
  [[nodiscard]] bool HasRoom(std::size_t aLimit, clock::time_point aNow) const;

  /// The idle direct connection of another customer that has been idle for
  /// longest, or null.
  [[nodiscard]] connection* LeastRecentlyUsed(
    const std::string& aCustomer) const;

  /// Whether another direct connection may be opened.
  [[nodiscard]] bool MayOpenDirect(std::size_t aLimit,
                                   clock::time_point aNow) const;

  /// Whether new work may go there: not to a server that is gone, nor to one
  /// that has been leaving for longer than the given time.
  [[nodiscard]] bool AcceptsWork(std::chrono::milliseconds aDrainGracePeriod,
                                 clock::time_point aNow) const;

  /// Whether requests had better go elsewhere for now.
  [[nodiscard]] bool IsAvoided(clock::time_point aNow) const;

  /// Whether some way to the server, direct or not, is worth trying.
  [[nodiscard]] bool IsReachable(clock::time_point aNow) const;

  /// How long a statement sent now is likely to take.
  [[nodiscard]] clock::duration ExpectedLatency(clock::time_point aNow) const;

  /// How far behind the replica's log is likely to be. What a refusal showed
  /// fades: nothing else would show that the replica has caught up when no
  /// statement is sent there.
  [[nodiscard]] clock::duration Lag(clock::time_point aNow) const;

  /// A whole answer came for a statement that was sent at the given time.
  void Served(clock::time_point aSentAt, clock::time_point aNow);

  /// The server's log stood there when it answered.
  void ObservePosition(const position::log_position& aPosition,
                       const confirm::position_samples& aPrimary,
                       clock::time_point aNow);

  /// The server lacked a position that was written by then.
  void ObserveLag(clock::time_point aWrittenBy, clock::time_point aNow);

  /// A direct connection broke or could not be made.
  void ObserveFailure(clock::time_point aNow);

  /// The same on the way through another VM.
  void ObserveRelayFailure(const std::string& aVm, clock::time_point aNow);

  /// The server accepts no more connections.
  void ObserveServerFull(clock::time_point aNow);

  server listed;
  access_plan plan;
  /// Which state of the fleet and the configuration the plan was made for; zero
  /// for none.
  std::uint64_t planEpoch = 0;
  /// Since when the server may have said that it leaves, if it does.
  std::optional<clock::time_point> drainingSince;
  /// The platform does not list it any longer; it goes once it is idle.
  bool unlisted = false;
  std::vector<std::unique_ptr<connection>> connections;
  std::optional<position::log_position> applied;
  clock::time_point lastContactAt;
  /// Whether it answered last, as told to the host.
  bool reachable = false;

private:
  /// Connections that are being opened, and those of them that take long.
  struct opening_counts
  {
    unsigned all = 0;
    unsigned slow = 0;
  };

  [[nodiscard]] opening_counts CountOpening(const std::string& aVm,
                                            clock::time_point aNow) const;
  void ResetForNewIncarnation(clock::time_point aNow);
  /// Whether the server may be asked for a connection now.
  [[nodiscard]] bool MayConnect(clock::time_point aNow) const;
  [[nodiscard]] bool IsRelayAvoided(const std::string& aVm,
                                    clock::time_point aNow) const;
  /// Whether direct connections fail, or take too long to open.
  [[nodiscard]] bool IsCutOff(clock::time_point aNow) const;

  // When this VM came to know that it has started again.
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

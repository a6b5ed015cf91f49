#ifndef CURRANTSHED_PROXY_SERVER_STATE_HPP
#define CURRANTSHED_PROXY_SERVER_STATE_HPP

#include <memory>
#include <optional>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/confirm/position_samples.hpp"
#include "currantshed/proxy/connection.hpp"

namespace currantshed::proxy {

/// What this process has seen of one server, and its connections there.
class server_state
{
public:
  server_state(server aListed, bool aIsNear);

  /// Commands under way.
  [[nodiscard]] unsigned Running() const;
  [[nodiscard]] unsigned Opening() const;

  /// An idle connection, one that has the session's values if there is one.
  [[nodiscard]] connection* Idle(const session_values& aValues);

  /// Whether another connection may be opened.
  [[nodiscard]] bool MayOpen(std::size_t aLimit, clock::time_point aNow) const;

  /// Whether requests had better go elsewhere for now.
  [[nodiscard]] bool IsAvoided(clock::time_point aNow) const;

  /// How long a statement sent now is likely to take.
  [[nodiscard]] clock::duration Expected(clock::time_point aNow) const;

  /// How far behind the replica's log is likely to be.
  [[nodiscard]] clock::duration Lag() const { return mLag; }

  /// A whole answer came for a statement that was sent at the given time.
  void Served(clock::time_point aSentAt, clock::time_point aNow);

  /// The server's log stood there when it answered.
  void At(const position::log_position& aPosition,
          const confirm::position_samples& aPrimary,
          clock::time_point aNow);

  /// The server lacked a position that was written by then.
  void Lagged(clock::time_point aWrittenBy, clock::time_point aNow);

  /// A connection broke or could not be made.
  void Failed(clock::time_point aNow);

  /// The server accepts no more connections.
  void Full(clock::time_point aNow);

  server listed;
  /// Set while the platform does not list it any longer.
  std::optional<clock::time_point> missingSince;
  std::vector<std::unique_ptr<connection>> connections;
  std::optional<position::log_position> applied;
  clock::time_point heardAt;
  /// Whether it answered last, as told to the host.
  bool reached = false;

private:
  clock::duration mUsual;
  clock::duration mMean;
  clock::time_point mMeanAt;
  clock::duration mLag;
  unsigned mFailures = 0;
  clock::time_point mAvoidUntil;
  clock::time_point mNoOpenUntil;
};

} // namespace currantshed::proxy

#endif

#ifndef CURRANTSHED_POOL_CONNECTION_POOL_HPP
#define CURRANTSHED_POOL_CONNECTION_POOL_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/pool/fwd.hpp"

namespace currantshed::pool {

/// Identifies a connection; never reused.
using connection_id = std::uint64_t;

/// Limits on the statements that the group's leading pooler runs on a server.
struct pool_limits
{
  /// Maximum number of statement connections.
  unsigned connections = 1;
  /// Maximum number of concurrent batches.
  unsigned slots = 1;
};

/// Computes the limits from the total number of connections that a server
/// accepts. Subtracted are the fraction aTakeoverReserve, which lets the next
/// leader connect before the server has detected that the previous one is gone;
/// the leader's own status and control connections; and the control connections
/// of the two standbys.
[[nodiscard]] pool_limits
ComputePoolLimits(unsigned aConnections,
                  unsigned aSlots,
                  double aTakeoverReserve);

/// The statement connections to one server and their states. A connection is
/// being opened, idle, or checked out. A checked-out one may be running a
/// batch, which takes a slot. The pool itself opens and closes no connections.
class connection_pool
{
public:
  void SetLimits(const pool_limits& aLimits);

  /// Whether another batch may be started.
  [[nodiscard]] bool HasSlot() const noexcept;

  /// Whether another connection may be opened now: the limit is not reached,
  /// and no backoff after a failed attempt is pending.
  [[nodiscard]] bool MayOpen(clock::time_point aNow) const noexcept;

  /// Returns an idle connection of the given kind.
  [[nodiscard]] std::optional<connection_id> Idle(
    bool aReadOnly) const noexcept;

  /// Number of connections of the given kind that are being opened.
  [[nodiscard]] std::size_t Opening(bool aReadOnly) const noexcept;

  /// Whether a connection of the given kind is available without waiting for a
  /// checked-out one: idle, being opened, or opened now, in place of an idle
  /// one of the other kind if necessary.
  [[nodiscard]] bool CanProvide(bool aReadOnly,
                                clock::time_point aNow) const noexcept;

  void Add(connection_id aConnection, bool aReadOnly);
  void Opened(connection_id aConnection);
  /// The connection could not be opened. It is removed, and the next attempt is
  /// delayed.
  void Failed(connection_id aConnection, clock::time_point aNow);
  /// Takes an idle connection out of the pool.
  void CheckOut(connection_id aConnection);
  /// Returns a checked-out connection.
  void CheckIn(connection_id aConnection);
  void BatchStarted(connection_id aConnection);
  void BatchEnded(connection_id aConnection);
  /// Removes a connection in any state.
  void Remove(connection_id aConnection);

  [[nodiscard]] unsigned Running() const noexcept;
  [[nodiscard]] std::size_t Connections() const noexcept;
  [[nodiscard]] const pool_limits& Limits() const noexcept;
  /// When a connection may be opened again after a failed attempt.
  [[nodiscard]] clock::time_point RetryAt() const noexcept;

private:
  enum class state
  {
    kOpening,
    kIdle,
    kCheckedOut,
  };

  struct connection
  {
    connection_id id = 0;
    bool readOnly = false;
    state current = state::kOpening;
    bool running = false;
  };

  [[nodiscard]] connection* Find(connection_id aConnection) noexcept;

  pool_limits mLimits;
  std::vector<connection> mConnections;
  unsigned mRunning = 0;
  unsigned mFailures = 0;
  clock::time_point mRetryAt{};
};

} // namespace currantshed::pool

#endif

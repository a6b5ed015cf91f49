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

/// Number of one connection, never used again.
using connection_id = std::uint64_t;

/// What a server gives to the statements of the pooler that leads its group.
struct pool_limits
{
  /// Statement connections at the same time.
  unsigned connections = 1;
  /// Batches under way at the same time.
  unsigned slots = 1;
};

/// Works out the limits from what a server accepts in all. Left aside are
/// the share for a takeover, by which the next leader can connect before the
/// server has noticed that the last one is gone, the leader's own status and
/// control connections, and the control connections of the two standbys.
[[nodiscard]] pool_limits
ComputePoolLimits(unsigned aConnections,
                  unsigned aSlots,
                  double aTakeoverReserve);

/// The statement connections to one server and their states. A connection is
/// opening, idle, or held; a held one may be under a batch, which takes a
/// slot. Opens and closes nothing itself.
class connection_pool
{
public:
  void SetLimits(const pool_limits& aLimits);

  /// Whether one more batch may be under way.
  [[nodiscard]] bool HasSlot() const noexcept;

  /// Whether one more connection may be opened now: within the limit, and
  /// not while backing off from a refused one.
  [[nodiscard]] bool MayOpen(clock::time_point aNow) const noexcept;

  /// An idle connection of the kind asked for.
  [[nodiscard]] std::optional<connection_id> Idle(
    bool aReadOnly) const noexcept;

  /// Connections of the kind that are being opened.
  [[nodiscard]] std::size_t Opening(bool aReadOnly) const noexcept;

  /// Whether a connection of the kind could be had without waiting for one
  /// that is held: idle, or opened in the place of an idle one at need.
  [[nodiscard]] bool CanProvide(bool aReadOnly,
                                clock::time_point aNow) const noexcept;

  void Add(connection_id aConnection, bool aReadOnly);
  void Opened(connection_id aConnection);
  /// The connection could not be opened: it is gone, and the next try waits.
  void Failed(connection_id aConnection, clock::time_point aNow);
  /// Takes an idle connection.
  void CheckOut(connection_id aConnection);
  /// Gives a held one back.
  void CheckIn(connection_id aConnection);
  void BatchStarted(connection_id aConnection);
  void BatchEnded(connection_id aConnection);
  /// Forgets a connection, whatever its state.
  void Remove(connection_id aConnection);

  [[nodiscard]] unsigned Running() const noexcept;
  [[nodiscard]] std::size_t Connections() const noexcept;
  [[nodiscard]] const pool_limits& Limits() const noexcept;
  /// When a connection may be tried again after a refused one.
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
    state now = state::kOpening;
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

#ifndef CURRANTSHED_CONFIRM_STATUS_TRACKER_HPP
#define CURRANTSHED_CONFIRM_STATUS_TRACKER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/confirm/fwd.hpp"
#include "currantshed/confirm/position_samples.hpp"
#include "currantshed/position/log_position.hpp"
#include "currantshed/upstream/status.hpp"

namespace currantshed::confirm {

/// A server's status with the time at which it was requested.
struct timestamped_status
{
  upstream::server_status status;
  clock::time_point askedAt;
};

/// A term that a majority of the group is in.
struct majority_term
{
  position::term_id term = 0;
  /// The oldest request time within the most recent majority.
  clock::time_point askedAt;
};

/// The primary of the majority's term.
struct known_primary
{
  upstream::server_id server;
  position::term_id term = 0;
};

/// Tracks the latest status of each server of a group, each polled directly,
/// and derives from them the current term, its primary, the confirmed
/// positions, and samples of the primary's log position.
///
/// A position is confirmed once a majority, each in the position's own term,
/// stores a record of that term at or beyond it. Any majority from which a
/// later primary is elected then includes a server that stores it.
class status_tracker
{
public:
  explicit status_tracker(std::chrono::milliseconds aValidity);

  /// Sets the servers of which a majority is required.
  void SetMembers(const std::vector<upstream::server_id>& aServers);

  /// Records a server's status. One that was requested before the latest status
  /// only counts towards confirmed positions.
  void Record(const upstream::server_id& aServer,
              const upstream::server_status& aStatus,
              clock::time_point aAskedAt);

  /// The server's latest status; null if none was received yet.
  [[nodiscard]] const timestamped_status* Find(
    const upstream::server_id& aServer) const;

  /// The highest term that a majority is in, by their latest statuses.
  [[nodiscard]] const std::optional<majority_term>& Term() const noexcept;

  /// The primary, if its status and those of a majority were requested within
  /// the validity.
  [[nodiscard]] std::optional<known_primary> Primary(
    clock::time_point aNow) const;

  /// The oldest request time within the most recent majority that stores the
  /// position in its own term; none if there is no such majority by the latest
  /// statuses.
  [[nodiscard]] std::optional<clock::time_point> HeldByMajorityAsOf(
    const position::log_position& aPosition) const;

  /// Whether a majority stores the position in its own term, by statuses that
  /// were requested at or after aAskedSince and are still valid.
  [[nodiscard]] bool IsHeldByMajority(const position::log_position& aPosition,
                                      clock::time_point aAskedSince,
                                      clock::time_point aNow) const;

  /// Whether the position was ever confirmed. It then is in the log of every
  /// later term.
  [[nodiscard]] bool WasConfirmed(
    const position::log_position& aPosition) const;

  /// Increases with each status that may change any of the above.
  [[nodiscard]] std::uint64_t Version() const noexcept;

  /// Samples of the primary's log position.
  [[nodiscard]] const position_samples& Samples() const noexcept;

private:
  struct member
  {
    bool hasStatus = false;
    timestamped_status latest;
    /// The highest position that the server stored in its own term.
    position::log_position highest;
  };

  using members = absl::flat_hash_map<upstream::server_id, member>;

  [[nodiscard]] std::size_t Majority() const noexcept;
  [[nodiscard]] const members::value_type* PrimaryOf(
    position::term_id aTerm) const;
  [[nodiscard]] std::optional<majority_term> FindTerm() const;
  void UpdateConfirmed(position::term_id aTerm);
  void AddSample();

  std::chrono::milliseconds mValidity;
  members mMembers;
  std::uint64_t mVersion = 0;
  std::optional<majority_term> mTerm;
  // The highest confirmed index of each of the latest terms.
  std::map<position::term_id, position::log_index> mConfirmed;
  position_samples mSamples;
};

} // namespace currantshed::confirm

#endif

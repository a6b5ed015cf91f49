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

/// A server's word about itself, dated by when it was asked.
struct timestamped_status
{
  upstream::server_status status;
  clock::time_point askedAt;
};

/// A term that a majority of the group is in.
struct majority_term
{
  position::term_id term = 0;
  /// When the majority was asked: the oldest question of the newest majority.
  clock::time_point askedAt;
};

/// The primary of the term that a majority is in.
struct known_primary
{
  upstream::server_id server;
  position::term_id term = 0;
};

/// The latest word of each server of a group, each asked directly, and what
/// follows from these words: the term in force, its primary, what is
/// confirmed, and where the primary's log stood at known times.
///
/// A position is confirmed once a majority, each in the position's own term,
/// holds a record of that term at or beyond it: any majority that a later
/// primary is chosen from then has a member that holds it.
class status_tracker
{
public:
  explicit status_tracker(std::chrono::milliseconds aValidity);

  /// Sets the servers that the majority is counted over.
  void SetMembers(const std::vector<upstream::server_id>& aServers);

  /// Takes a server's word. A word asked for before the one at hand only
  /// counts towards what was ever confirmed.
  void Record(const upstream::server_id& aServer,
              const upstream::server_status& aStatus,
              clock::time_point aAskedAt);

  /// The server's latest word; null when it has said nothing yet.
  [[nodiscard]] const timestamped_status* Find(
    const upstream::server_id& aServer) const;

  /// The highest term that a majority is in, by their latest words.
  [[nodiscard]] const std::optional<majority_term>& Term() const noexcept;

  /// The primary, when it and a majority were asked within the validity.
  [[nodiscard]] std::optional<known_primary> Primary(
    clock::time_point aNow) const;

  /// When the majority that holds the position in its own term was asked:
  /// the oldest question of the newest such majority. None when no majority
  /// holds it by their latest words.
  [[nodiscard]] std::optional<clock::time_point> HeldByMajorityAsOf(
    const position::log_position& aPosition) const;

  /// Whether a majority, each asked no earlier than given, holds the position
  /// in its own term, and their word is still valid.
  [[nodiscard]] bool IsHeldByMajority(const position::log_position& aPosition,
                                      clock::time_point aAskedSince,
                                      clock::time_point aNow) const;

  /// Whether the position was confirmed at any time. It then is part of the
  /// history of every later term.
  [[nodiscard]] bool WasConfirmed(
    const position::log_position& aPosition) const;

  /// Goes up with each word that may change any of the above.
  [[nodiscard]] std::uint64_t Version() const noexcept;

  /// The primary's position at known times.
  [[nodiscard]] const position_samples& Samples() const noexcept;

private:
  struct member
  {
    bool heard = false;
    timestamped_status latest;
    /// The highest record stored in the server's own term at the time.
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
  // The highest confirmed index of the latest terms.
  std::map<position::term_id, position::log_index> mConfirmed;
  position_samples mSamples;
};

} // namespace currantshed::confirm

#endif

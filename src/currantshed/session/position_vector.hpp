#ifndef CURRANTSHED_SESSION_POSITION_VECTOR_HPP
#define CURRANTSHED_SESSION_POSITION_VECTOR_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "currantshed/position/log_position.hpp"
#include "currantshed/session/fwd.hpp"

namespace currantshed::session {

/// What a session's read of one group must show.
struct group_floor
{
  /// Minimum position that the read must show.
  position::log_position position;
  /// The session may have seen more than the position says, so that only a
  /// fresh read is certain to show it.
  bool fresh = false;
};

/// The highest confirmed position that one session has seen of each group.
/// Positions never decrease. Groups are identified by the 64-bit XXH3 hash of
/// their names. If two groups have the same hash, both get the higher position,
/// which can cost performance but not correctness.
class position_vector
{
public:
  /// Maximum number of groups in one vector. Beyond it the vector overflows,
  /// and groups that are not in it get fresh reads.
  static constexpr std::size_t kMaxGroups = 64;

  /// The minimum position for a read of the group.
  [[nodiscard]] group_floor Floor(std::string_view aGroup) const noexcept;

  /// Records a confirmed position; ignored if it is not higher than the
  /// recorded one. Where Floor returns fresh, the position must come from a
  /// fresh read or from a write, so that it covers anything seen before without
  /// being recorded.
  void AdvanceTo(std::string_view aGroup, position::log_position aPosition);

  /// Merges another vector of the same session. A group that either vector may
  /// have seen without recording it is left out.
  void Merge(const position_vector& aOther);

  /// Marks the vector as incomplete: groups that are not in it get fresh reads
  /// until a position is recorded for them.
  void MarkIncomplete() noexcept;

  [[nodiscard]] bool Overflowed() const noexcept;
  [[nodiscard]] std::size_t size() const noexcept;

  /// Serializes the vector.
  [[nodiscard]] std::string Encode() const;

  /// Deserializes the output of Encode; returns kMalformed for any other bytes.
  [[nodiscard]] std::error_code Decode(std::string_view aBytes);

  [[nodiscard]] friend bool operator==(const position_vector&,
                                       const position_vector&) = default;

private:
  struct entry
  {
    std::uint64_t group = 0;
    position::log_position position;

    [[nodiscard]] friend bool operator==(const entry&, const entry&) = default;
  };

  void AdvanceHashTo(std::uint64_t aGroup, position::log_position aPosition);
  [[nodiscard]] const entry* Find(std::uint64_t aGroup) const noexcept;
  void RemoveUnlessIn(const position_vector& aOther);

  /// Sorted by hash.
  std::vector<entry> mEntries;
  bool mOverflowed = false;
};

} // namespace currantshed::session

#endif

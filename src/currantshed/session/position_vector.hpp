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

/// What a session has seen of one group.
struct group_floor
{
  /// A read must show this position or a later one.
  position::log_position position;
  /// The session may have seen more than it could note; only a fresh read
  /// is sure to show it.
  bool fresh = false;
};

/// The highest confirmed position that one session has seen of each group.
/// Positions only rise. Groups are noted by the XXH3 hash (64 bits) of their
/// names; two groups that share a hash share the higher position, which costs
/// speed and breaks nothing.
class position_vector
{
public:
  /// Groups that one vector notes. Past it the vector overflows, and every
  /// group that isn't noted is read fresh.
  static constexpr std::size_t kMaxGroups = 64;

  /// What a read of this group has to show.
  [[nodiscard]] group_floor Floor(std::string_view aGroup) const noexcept;

  /// Notes a confirmed position; a lower one than that noted changes nothing.
  /// Where Floor says fresh, the position must come from a fresh read or a
  /// change, so that it covers whatever was seen before without being noted.
  void AdvanceTo(std::string_view aGroup, position::log_position aPosition);

  /// Takes over what another vector of the same session has seen. A group
  /// that one of them may have seen without noting it stays unnoted.
  void Merge(const position_vector& aOther);

  /// Says that the session may have seen more than is noted: every group that
  /// isn't noted is read fresh, until it is noted.
  void MarkIncomplete() noexcept;

  [[nodiscard]] bool Overflowed() const noexcept;
  [[nodiscard]] std::size_t size() const noexcept;

  /// The vector as bytes.
  [[nodiscard]] std::string Encode() const;

  /// Reads bytes made by Encode; kMalformed for any other.
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

  /// In the order of the hashes.
  std::vector<entry> mEntries;
  bool mOverflowed = false;
};

} // namespace currantshed::session

#endif

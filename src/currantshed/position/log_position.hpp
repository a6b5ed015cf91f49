#ifndef CURRANTSHED_POSITION_LOG_POSITION_HPP
#define CURRANTSHED_POSITION_LOG_POSITION_HPP

#include <compare>
#include <cstdint>

namespace currantshed::position {

/// Number of a primary's term in its group. Zero means that no term has begun.
using term_id = std::uint64_t;

/// Number of records in a group's log, counted from its beginning.
using log_index = std::uint64_t;

/// A position in the log of one group: the term in which its record was
/// written, and its index. Positions are ordered by term first. Of two
/// histories, the one with the higher position is newer. Of two confirmed
/// positions, the higher one includes the lower one, since confirmed records
/// survive every later term.
struct log_position
{
  term_id term = 0;
  log_index index = 0;

  [[nodiscard]] friend constexpr auto operator<=>(
    const log_position&,
    const log_position&) noexcept = default;
};

} // namespace currantshed::position

#endif

#ifndef CURRANTSHED_POSITION_LOG_POSITION_HPP
#define CURRANTSHED_POSITION_LOG_POSITION_HPP

#include <compare>
#include <cstdint>

namespace currantshed::position {

/// Number of a primary's term in its group. Zero means that no term has begun.
using term_id = std::uint64_t;

/// Count of records in a group's log, from its beginning.
using log_index = std::uint64_t;

/// A place in the log of one group: the term in which the record there was
/// written, and its index. The order goes by term first; it tells which of
/// two histories is the newer one, and for two confirmed positions which of
/// them covers the other, since confirmed records survive every later term.
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

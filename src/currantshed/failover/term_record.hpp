#ifndef CURRANTSHED_FAILOVER_TERM_RECORD_HPP
#define CURRANTSHED_FAILOVER_TERM_RECORD_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "currantshed/failover/coordinator.hpp"

namespace currantshed::failover {

/// Changes whose ids a record keeps.
constexpr std::size_t kRecordChanges = 16;

/// Reservations that a record keeps.
constexpr std::size_t kRecordReservations = 32;

/// A term number set aside for one process's life.
struct reservation
{
  position::term_id term = 0;
  std::string vm;
  incarnation_id incarnation;

  [[nodiscard]] friend bool operator==(const reservation&,
                                       const reservation&) = default;
};

/// What the platform's store holds about a group's terms.
struct term_record
{
  /// The last term that was published with its primary.
  position::term_id term = 0;
  upstream::server_id primary;
  /// The highest number ever given out; never goes down, so no number is
  /// given twice even when its reservation has been dropped from the list.
  position::term_id highest = 0;
  /// Numbers set aside, for a reader; a bounded few, in order.
  std::vector<reservation> reservations;
  /// Ids of the last changes, newest last: they tell a lost answer from a
  /// lost race.
  std::vector<std::string> changes;

  [[nodiscard]] friend bool operator==(const term_record&,
                                       const term_record&) = default;
};

/// Reads a record; an empty text is a record without any term.
[[nodiscard]] std::error_code
ParseRecord(std::string_view aText, term_record& aRecord);

/// The record as JSON.
[[nodiscard]] std::string
SerializeRecord(const term_record& aRecord);

/// Drops what no longer matters: numbers up to the published term, those of
/// earlier incarnations of the VM, and the oldest beyond the bounds.
void
PruneRecord(term_record& aRecord,
            const std::string& aVm,
            const incarnation_id& aIncarnation);

} // namespace currantshed::failover

#endif

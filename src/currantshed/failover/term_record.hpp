#ifndef CURRANTSHED_FAILOVER_TERM_RECORD_HPP
#define CURRANTSHED_FAILOVER_TERM_RECORD_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "currantshed/failover/coordinator.hpp"

namespace currantshed::failover {

/// Number of change identifiers that a record keeps.
constexpr std::size_t kRecordChanges = 16;

/// Number of reservations that a record keeps.
constexpr std::size_t kRecordReservations = 32;

/// Term reserved for one incarnation of a process.
struct reservation
{
  position::term_id term = 0;
  std::string vm;
  incarnation_id incarnation;

  [[nodiscard]] friend bool operator==(const reservation&,
                                       const reservation&) = default;
};

/// Record of a group's terms in the platform's store.
struct term_record
{
  /// Last term that was published with its primary.
  position::term_id term = 0;
  upstream::server_id primary;
  /// Highest term ever reserved. It never decreases, so no term is reserved
  /// twice even after its reservation was dropped from the list.
  position::term_id highest = 0;
  /// Reserved terms in order, for inspection; bounded.
  std::vector<reservation> reservations;
  /// Identifiers of the last changes, newest last. They distinguish a lost
  /// response from a lost race.
  std::vector<std::string> changes;

  [[nodiscard]] friend bool operator==(const term_record&,
                                       const term_record&) = default;
};

/// Parses a record; an empty text is a record without any term.
[[nodiscard]] std::error_code
ParseRecord(std::string_view aText, term_record& aRecord);

/// Serializes a record as JSON.
[[nodiscard]] std::string
SerializeRecord(const term_record& aRecord);

/// Removes reservations up to the published term and of earlier incarnations of
/// the VM, and the oldest entries beyond the limits.
void
PruneRecord(term_record& aRecord,
            const std::string& aVm,
            const incarnation_id& aIncarnation);

} // namespace currantshed::failover

#endif

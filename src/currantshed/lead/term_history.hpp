#ifndef CURRANTSHED_LEAD_TERM_HISTORY_HPP
#define CURRANTSHED_LEAD_TERM_HISTORY_HPP

#include <string>
#include <vector>

#include "currantshed/position/log_position.hpp"
#include "currantshed/upstream/fwd.hpp"

namespace currantshed::lead {

/// Where a replaced term ended: its successor was promoted with the records up
/// to this index. A log that has records of this term or an earlier one beyond
/// it holds commits that the successor does not have.
struct term_end
{
  position::term_id term = 0;
  position::log_index last = 0;

  [[nodiscard]] friend bool operator==(const term_end&,
                                       const term_end&) = default;
};

/// What is known of a group's replaced terms. The holder of the failover lock
/// keeps it in the lock's record, so that it survives a restart of all VMs.
struct term_history
{
  /// The newest term that a lock holder has replaced or is about to replace.
  /// Confirmations of it must be rejected.
  position::term_id replaced = 0;
  /// The server that was to be promoted in its place. An order to promote it
  /// may still take effect. Empty if unknown.
  upstream::server_id ordered;
  /// By ascending term. The end of a later term holds for the logs of earlier
  /// ones too; a term that is missing has no known end of its own.
  std::vector<term_end> ends;

  [[nodiscard]] friend bool operator==(const term_history&,
                                       const term_history&) = default;
};

/// Whether a log is part of the history of the current term.
enum class lineage
{
  /// Every record of it was taken over by the later terms.
  kIncluded,
  /// It holds records that a later term left behind. If its server were
  /// promoted, commits would return that later reads did not see.
  kDiverged,
  /// A term was replaced whose end is not known.
  kUnknown,
};

/// Judges a log by the position of its last record and the term that its server
/// follows. A server that follows a later term has discarded what that term
/// left behind.
[[nodiscard]] lineage
LineageOf(const term_history& aHistory,
          const position::log_position& aLast,
          position::term_id aFollowedTerm);

/// Sets the end of a term, which counts as replaced from then on.
void
RecordEnd(term_history& aHistory, const term_end& aEnd);

/// Whether both say the same of replaced terms, apart from orders.
[[nodiscard]] bool
HaveSameEnds(const term_history& aLeft, const term_history& aRight);

/// Joins the records of one group: of two ends of one term, that of aNewer
/// applies.
[[nodiscard]] term_history
Merge(const term_history& aOlder, const term_history& aNewer);

/// For log lines.
[[nodiscard]] std::string
ToText(const term_history& aHistory);

} // namespace currantshed::lead

#endif

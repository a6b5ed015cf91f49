#ifndef CURRANTSHED_OUTCOME_VERDICT_HPP
#define CURRANTSHED_OUTCOME_VERDICT_HPP

#include "currantshed/outcome/fwd.hpp"

namespace currantshed::outcome {

/// Final result of a request, as reported to the caller.
enum class verdict
{
  /// The request ran; a change is confirmed by a majority of the group.
  kDone,
  /// The request has not run and never will; the caller may retry it.
  kNotRun,
  /// It is unknown whether the request ran; the caller may query the outcome by
  /// its key.
  kUnknown,
  /// The request is invalid and would be refused again.
  kRefused,
};

/// Why a request was not completed.
enum class reason
{
  kNone,
  /// No capacity before the deadline; the response says when to retry.
  kOverloaded,
  /// The deadline has passed or cannot be met.
  kDeadline,
  /// The group currently has no confirmed primary.
  kNoPrimary,
  /// No server in the failure domains that the class allows can serve the
  /// request.
  kNoEligibleServer,
  /// No server has data as recent as the session or the class requires.
  kTooStale,
  /// The transaction has ended, or its VM or server was lost.
  kTransactionLost,
  /// The group is unknown to this process.
  kUnknownGroup,
  /// The result exceeds the size limit.
  kAnswerTooLarge,
  /// The database rejected the statement; see its SQLSTATE.
  kStatement,
  /// The key is older than the retention of outcomes.
  kKeyExpired,
  /// The key was already used for a different request.
  kKeyReused,
  /// The key was voided: its unknown outcome was resolved as not run.
  kKeyVoid,
  /// The process is shutting down.
  kLeaving,
  /// The request is malformed.
  kMalformed,
  /// No pooler of the group can be reached.
  kUnreachable,
};

} // namespace currantshed::outcome

#endif

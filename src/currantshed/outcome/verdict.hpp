#ifndef CURRANTSHED_OUTCOME_VERDICT_HPP
#define CURRANTSHED_OUTCOME_VERDICT_HPP

#include "currantshed/outcome/fwd.hpp"

namespace currantshed::outcome {

/// What a caller is told about a request. Each is final.
enum class verdict
{
  /// It ran; a change is confirmed by a majority of the group.
  kDone,
  /// It has not run and never will; the caller may ask again.
  kNotRun,
  /// It isn't known; the caller may ask for the outcome by its key.
  kUnknown,
  /// It is wrong in itself, and would be refused again.
  kRefused,
};

/// Why a request was not done.
enum class reason
{
  kNone,
  /// No room before the deadline; see the time to come back.
  kOverloaded,
  /// The deadline passed, or can't be met.
  kDeadline,
  /// The group has no confirmed primary at the moment.
  kNoPrimary,
  /// No server in the places that the class allows can serve it.
  kNoEligibleServer,
  /// No server with data as new as the session or the class asks for.
  kTooStale,
  /// The transaction ended, or its VM or server was lost.
  kTransactionLost,
  /// The group isn't known here.
  kUnknownGroup,
  /// The answer passed the limit on its size.
  kAnswerTooLarge,
  /// The database refused the statement; see its SQLSTATE.
  kStatement,
  /// The key is older than outcomes are kept.
  kKeyExpired,
  /// The key was used before for another request.
  kKeyReused,
  /// The key was voided: a doubt about it was resolved as not run.
  kKeyVoid,
  /// The process is shutting down.
  kLeaving,
  /// The request is malformed.
  kMalformed,
  /// No pooler can be reached for the group.
  kUnreachable,
};

} // namespace currantshed::outcome

#endif

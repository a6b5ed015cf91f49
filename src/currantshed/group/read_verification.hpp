#ifndef CURRANTSHED_GROUP_READ_VERIFICATION_HPP
#define CURRANTSHED_GROUP_READ_VERIFICATION_HPP

#include <chrono>

#include "currantshed/clock/time.hpp"
#include "currantshed/confirm/status_tracker.hpp"
#include "currantshed/group/request.hpp"
#include "currantshed/upstream/status.hpp"

namespace currantshed::group {

/// Status of the server immediately before and after the statements of a read,
/// all from one pipeline.
struct read_evidence
{
  upstream::server_status before;
  upstream::server_status after;
  clock::time_point sentAt;
};

/// Result of verifying a read.
enum class read_verdict
{
  /// The rows may be returned.
  kGood,
  /// The rows may be returned once newer statuses confirm the position that
  /// they reflect.
  kUnconfirmed,
  /// The server cannot serve this read.
  kBad,
};

/// Whether the request must see everything that was acknowledged before it.
[[nodiscard]] bool
IsFresh(const request& aRequest) noexcept;

/// Verifies a read by the two statuses around it. Between them the server must
/// not have changed its term or history or dropped stored records. The first
/// status must cover the session's position and meet the staleness bound. The
/// position in the second one must be confirmed. A fresh read must come from
/// the primary of a term that a majority held, according to statuses requested
/// after the read was sent.
[[nodiscard]] read_verdict
VerifyRead(const request& aRequest,
           const read_evidence& aEvidence,
           const confirm::status_tracker& aTracker,
           clock::time_point aNow);

} // namespace currantshed::group

#endif

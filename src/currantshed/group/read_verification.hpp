#ifndef CURRANTSHED_GROUP_READ_VERIFICATION_HPP
#define CURRANTSHED_GROUP_READ_VERIFICATION_HPP

#include <chrono>

#include "currantshed/clock/time.hpp"
#include "currantshed/confirm/status_tracker.hpp"
#include "currantshed/group/request.hpp"
#include "currantshed/upstream/status.hpp"

namespace currantshed::group {

/// The server's word right before and right after the statements of a read,
/// out of one pipeline.
struct read_evidence
{
  upstream::server_status before;
  upstream::server_status after;
  clock::time_point sentAt;
};

/// What the evidence says about a read's rows.
enum class read_verdict
{
  /// They may be shown.
  kGood,
  /// They may be good once the servers' word confirms what they show.
  kUnconfirmed,
  /// The server can't serve this read.
  kBad,
};

/// Whether the request must see all that was acknowledged before it.
[[nodiscard]] bool
IsFresh(const request& aRequest) noexcept;

/// Judges a read by its evidence. Between the two words the server must have
/// kept its term, its role's history and all that it had stored; the word
/// before covers the session's position and the bound on staleness; what the
/// word after shows must be confirmed. A fresh read must come from the
/// primary of a term that a majority held when asked after the read was sent.
[[nodiscard]] read_verdict
VerifyRead(const request& aRequest,
           const read_evidence& aEvidence,
           const confirm::status_tracker& aTracker,
           clock::time_point aNow);

} // namespace currantshed::group

#endif

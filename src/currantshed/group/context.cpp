#include "currantshed/group/context.hpp"

#include "currantshed/admit/drain_meter.hpp"

namespace currantshed::group {

namespace {

using outcome::reason;
using outcome::verdict;

// Retry delay, by what has to change first: a failover, a replica that catches
// up, a connection to another gateway, a change of the group.
constexpr std::chrono::milliseconds kAfterFailover{ 200 };
constexpr std::chrono::milliseconds kAfterCatchUp{ 50 };
constexpr std::chrono::milliseconds kAfterMove{ 100 };
constexpr std::chrono::milliseconds kAfterGroupChange{ 1000 };

std::chrono::milliseconds
RetryDelayFor(reason aWhy)
{
  switch (aWhy) {
    case reason::kNoPrimary:
      return kAfterFailover;
    case reason::kNoEligibleServer:
      return kAfterGroupChange;
    case reason::kLeaving:
    case reason::kUnreachable:
      return kAfterMove;
    default:
      return kAfterCatchUp;
  }
}

answer
Make(const request& aRequest, verdict aVerdict, reason aWhy)
{
  answer result;
  result.request = aRequest.id;
  result.verdict = aVerdict;
  result.why = aWhy;
  return result;
}

} // namespace

context::context(const engine_settings& aSettings)
  : settings(aSettings)
  , dialect(upstream::MakePostgresDialect())
  , tracker(aSettings.validity)
{
}

std::optional<upstream::server_status>
TakeStatus(context& aContext,
           const dispatch& aDispatch,
           const upstream::reply& aReply,
           std::size_t aIndex)
{
  if (aIndex >= aReply.results.size()) {
    return std::nullopt;
  }
  auto status = aContext.dialect->ReadStatus(aReply.results[aIndex]);
  if (status) {
    aContext.tracker.Record(aDispatch.server, *status, aDispatch.sentAt);
  }
  return status;
}

answer
NotRun(const request& aRequest, reason aWhy)
{
  auto result = Make(aRequest, verdict::kNotRun, aWhy);
  result.retryAfter = admit::AddJitter(RetryDelayFor(aWhy), aRequest.id);
  return result;
}

answer
Refused(const request& aRequest, reason aWhy)
{
  return Make(aRequest, verdict::kRefused, aWhy);
}

answer
Unknown(const request& aRequest, reason aWhy)
{
  return Make(aRequest, verdict::kUnknown, aWhy);
}

answer
StatementRefused(const request& aRequest, const upstream::reply& aReply)
{
  auto result = Make(aRequest, verdict::kRefused, reason::kStatement);
  result.sqlState = aReply.sqlState;
  result.message = aReply.message;
  return result;
}

answer
ServedBy(const request& aRequest,
         const dispatch& aDispatch,
         upstream::server_role aRole)
{
  auto result = Make(aRequest, verdict::kDone, reason::kNone);
  result.servedBy = aDispatch.server;
  result.failureDomain = aDispatch.failureDomain;
  result.byReplica = aRole != upstream::server_role::kPrimary;
  return result;
}

} // namespace currantshed::group

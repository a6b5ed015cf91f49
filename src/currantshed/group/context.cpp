#include "currantshed/group/context.hpp"

#include "currantshed/admit/drain_meter.hpp"

namespace currantshed::group {

namespace {

using outcome::reason;
using outcome::verdict;

// When to come back, by what has to change first: a failover, a replica that
// catches up, a connection to another gateway, a change of the group.
constexpr std::chrono::milliseconds kAfterFailover{ 200 };
constexpr std::chrono::milliseconds kAfterCatchUp{ 50 };
constexpr std::chrono::milliseconds kAfterMove{ 100 };
constexpr std::chrono::milliseconds kAfterRegroup{ 1000 };

std::chrono::milliseconds
TimeToComeBack(reason aWhy)
{
  switch (aWhy) {
    case reason::kNoPrimary:
      return kAfterFailover;
    case reason::kNoEligibleServer:
      return kAfterRegroup;
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
  answer made;
  made.request = aRequest.id;
  made.verdict = aVerdict;
  made.why = aWhy;
  return made;
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
  auto made = Make(aRequest, verdict::kNotRun, aWhy);
  made.retryAfter = admit::AddJitter(TimeToComeBack(aWhy), aRequest.id);
  return made;
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
  auto made = Make(aRequest, verdict::kRefused, reason::kStatement);
  made.sqlState = aReply.sqlState;
  made.message = aReply.message;
  return made;
}

answer
ServedBy(const request& aRequest,
         const dispatch& aDispatch,
         upstream::server_role aRole)
{
  auto made = Make(aRequest, verdict::kDone, reason::kNone);
  made.servedBy = aDispatch.server;
  made.failureDomain = aDispatch.failureDomain;
  made.byReplica = aRole != upstream::server_role::kPrimary;
  return made;
}

} // namespace currantshed::group

#include "currantshed/load/caller.hpp"

#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "currantshed/outcome/idempotency_key.hpp"

namespace currantshed::load {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Time beyond the deadline of the class for which a caller waits for an
/// answer.
constexpr milliseconds kAnswerTimeout{ 2000 };
constexpr milliseconds kResolveInterval{ 100 };
constexpr milliseconds kResolveDeadline{ 1000 };

run_offset
SinceEpoch(clock::wall_time aTime)
{
  return std::chrono::duration_cast<run_offset>(aTime.time_since_epoch());
}

} // namespace

caller::caller(asio::io_context& aContext,
               const plan& aPlan,
               clock::time_point aOrigin,
               std::uint64_t aSeed,
               history& aHistory,
               progress& aProgress)
  : mContext(aContext)
  , mPlan(aPlan)
  , mOrigin(aOrigin)
  , mRandom(aSeed)
  , mHistory(aHistory)
  , mProgress(aProgress)
{
  for (const gateway_address& gateway : aPlan.gateways) {
    mConnections.push_back(
      std::make_unique<http_connection>(aContext, gateway));
  }
  mGateway = RandomBelow(mConnections.size());
}

asio::awaitable<answer>
caller::Send(const policy::work_class& aWork,
             std::string aGroup,
             std::vector<sql_statement> aStatements,
             std::string aKey)
{
  http_request request;
  request.target = "/v1/statements";
  request.body = MakeBody(aWork.name, aGroup, aStatements);
  request.key = std::move(aKey);
  co_return co_await Ask(aWork, std::move(request));
}

asio::awaitable<answer>
caller::Open(const policy::work_class& aWork,
             std::string aGroup,
             std::vector<sql_statement> aStatements,
             std::string aKey)
{
  http_request request;
  request.target = "/v1/transactions";
  request.key = std::move(aKey);
  request.body = MakeBody(aWork.name, aGroup, aStatements);
  co_return co_await Ask(aWork, std::move(request));
}

asio::awaitable<answer>
caller::Continue(const policy::work_class& aWork,
                 std::string aTransaction,
                 std::vector<sql_statement> aStatements)
{
  http_request request;
  request.target = "/v1/transactions/" + aTransaction + "/statements";
  request.body = MakeBody({}, {}, aStatements);
  co_return co_await Ask(aWork, std::move(request));
}

asio::awaitable<answer>
caller::End(const policy::work_class& aWork,
            std::string aTransaction,
            std::string aKey)
{
  http_request request;
  request.target = "/v1/transactions/" + aTransaction +
                   (aKey.empty() ? "/rollback" : "/commit");
  request.body = "{}";
  request.key = std::move(aKey);
  co_return co_await Ask(aWork, std::move(request));
}

asio::awaitable<change_outcome>
caller::Resolve(std::string aGroup, std::string aKey)
{
  policy::work_class work;
  work.name = "outcome";
  work.deadline = kResolveDeadline;
  std::string target = "/v1/outcomes/";
  target.append(aGroup).append("/").append(aKey);
  const run_offset until = Now() + mPlan.resolveTimeout;
  while (Now() < until) {
    http_request request;
    request.get = true;
    request.target = target;
    const answer reply = co_await Ask(work, std::move(request));
    if (reply.outcome == change_outcome::kDone) {
      co_return change_outcome::kDone;
    }
    // Only the reason "key_void" states that the change can never run; any
    // other "not run" refers to this query itself.
    if (reply.outcome == change_outcome::kNotRun &&
        reply.reason == "key_void") {
      co_return change_outcome::kNotRun;
    }
    SwitchGateway();
    co_await Sleep(kResolveInterval);
  }
  co_return change_outcome::kUnknown;
}

asio::awaitable<void>
caller::Sleep(std::chrono::microseconds aTime)
{
  asio::steady_timer timer(mContext, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

void
caller::SwitchGateway()
{
  if (mConnections.size() > 1) {
    mGateway += 1 + RandomBelow(mConnections.size() - 1);
    mGateway %= mConnections.size();
  }
}

void
caller::SetIntendedStart(run_offset aStart)
{
  mIntendedStart = aStart;
}

run_offset
caller::Now() const
{
  return std::chrono::duration_cast<run_offset>(
    std::chrono::steady_clock::now() - mOrigin);
}

std::string
caller::NewKey()
{
  const auto now = std::chrono::system_clock::now();
  const std::uint64_t high = mRandom();
  const std::uint64_t low = mRandom();
  return outcome::idempotency_key::Make(now, high, low).Text();
}

std::uint64_t
caller::RandomBelow(std::uint64_t aBound)
{
  return aBound == 0 ? 0 : mRandom() % aBound;
}

const plan&
caller::Plan() const noexcept
{
  return mPlan;
}

history&
caller::History() noexcept
{
  return mHistory;
}

progress&
caller::Progress() noexcept
{
  return mProgress;
}

asio::awaitable<answer>
caller::Ask(const policy::work_class& aWork, http_request aRequest)
{
  const run_offset sent = mIntendedStart.value_or(Now());
  mIntendedStart.reset();
  aRequest.session = mToken;
  aRequest.deadline = aWork.deadline;
  http_answer raw = co_await mConnections[mGateway]->Exchange(
    aRequest, aWork.deadline + kAnswerTimeout);
  answer reply = ReadAnswer(raw.body);
  reply.end = raw.end;
  reply.trace = std::move(raw.trace);
  Record(aWork, aRequest, reply, sent);
  if (!reply.session.empty()) {
    mToken = reply.session;
  }
  if (reply.end != exchange_result::kAnswered) {
    SwitchGateway();
  }
  co_return reply;
}

void
caller::Record(const policy::work_class& aWork,
               const http_request& aRequest,
               const answer& aAnswer,
               run_offset aSent)
{
  answer_record record;
  record.work = aWork.name;
  record.outcome = aAnswer.outcome;
  record.deadline = aWork.deadline;
  record.end = aAnswer.end;
  record.trace = aAnswer.trace;
  record.reason = aAnswer.reason;
  record.read = aWork.kind == policy::access::kRead && !aRequest.get;
  record.byReplica = aAnswer.replica;
  record.servedBy = aAnswer.servedBy;
  record.key = aRequest.key;
  record.token = aRequest.session;
  record.sent = aSent;
  record.latency = Now() - aSent;
  record.wall = SinceEpoch(std::chrono::system_clock::now());
  mHistory.answers.push_back(std::move(record));
  ++mProgress.answers;
}

} // namespace currantshed::load

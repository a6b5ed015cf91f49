#include "test/matrix/callers.hpp"

#include <chrono>
#include <memory>
#include <utility>

namespace currantshed::matrix {

namespace {

using gateway::call_kind;
using outcome::reason;
using outcome::verdict;
using std::chrono::milliseconds;

constexpr milliseconds kAnswerTimeout{ 2500 };
constexpr milliseconds kRetryInterval{ 250 };
constexpr unsigned kOutcomeQueries = 8;
constexpr unsigned kThinkSpread = 50;
// Think time once all faults have ended.
constexpr unsigned kCalmSpread = 400;
constexpr instant kBusyUntil = milliseconds(3500);
const std::string kGroup = "claimsbook-1";

told_outcome
ToOutcome(verdict aVerdict)
{
  switch (aVerdict) {
    case verdict::kDone:
      return told_outcome::kDone;
    case verdict::kNotRun:
      return told_outcome::kNotRun;
    case verdict::kUnknown:
      return told_outcome::kUnknown;
    case verdict::kRefused:
      break;
  }
  return told_outcome::kRefused;
}

bool
IsOpen(told_outcome aOutcome)
{
  return aOutcome == told_outcome::kNothing ||
         aOutcome == told_outcome::kUnknown;
}

} // namespace

session_caller::session_caller(surroundings& aAround,
                               std::vector<gateway_node*> aGateways,
                               unsigned aNumber)
  : mAround(aAround)
  , mGateways(std::move(aGateways))
  , mNumber(aNumber)
{
}

void
session_caller::Start(instant aEnd)
{
  mEnd = aEnd;
  Later();
}

void
session_caller::Later()
{
  const bool calm = mAround.time.Since() > kBusyUntil;
  const auto spread = calm ? kCalmSpread : kThinkSpread;
  const milliseconds pause(1 + mAround.chance() % spread);
  mAround.time.In(pause, [this] { Next(); });
}

void
session_caller::Next()
{
  if (mAround.time.Since() >= mEnd) {
    return;
  }
  ++mCount;
  constexpr unsigned kChoices = 12;
  switch (mAround.chance() % kChoices) {
    case 0:
    case 1:
    case 2:
      return Write("report", 1);
    case 3:
      return Write("draft", 1);
    case 4:
      return Write("report", 2);
    case 5:
    case 6:
      return Transaction();
    case 7:
      return Read("counter", false);
    case 8:
      return Read("catalogue", false);
    default:
      return Read("lookup", true);
  }
}

gateway::caller_request
session_caller::Request(call_kind aKind, const std::string& aClass) const
{
  gateway::caller_request made;
  made.kind = aKind;
  made.workClass = aClass;
  made.group = kGroup;
  made.session = mToken;
  return made;
}

void
session_caller::Read(const std::string& aClass, bool aWithToken)
{
  auto request = Request(call_kind::kStatements, aClass);
  const auto own = std::to_string(mNumber) + "-" + std::to_string(mCount);
  request.statements = { { "list", {} }, { "echo " + own, {} } };
  if (!aWithToken) {
    request.session = "new";
  }
  read_record read;
  read.number = mCount;
  read.session = mNumber;
  read.withToken = aWithToken;
  for (const auto& work : Classes()) {
    read.bound = work.name == aClass ? work.maxStaleness : read.bound;
  }
  read.sent = mAround.time.Since();
  Call(request, [=, this](const received_answer& aAnswer) mutable {
    read.answered = mAround.time.Since();
    if (aAnswer) {
      read.outcome = ToOutcome(aAnswer->verdict);
      read.byReplica = aAnswer->byReplica;
      if (aWithToken && !aAnswer->session.empty()) {
        mToken = aAnswer->session;
      }
    }
    if (read.outcome == told_outcome::kDone) {
      const auto& results = aAnswer->results;
      read.whole = results.size() == 2 && results[1].cells.size() == 1 &&
                   results[1].cells[0] == own;
      if (read.whole) {
        for (const auto& cell : results[0].cells) {
          read.values.push_back(*cell);
        }
      }
    }
    mAround.seen.reads.push_back(std::move(read));
    Later();
  });
}

std::size_t
session_caller::Begin(std::size_t aRows)
{
  change_record change;
  change.number = mCount;
  change.session = mNumber;
  change.key = NewKey();
  change.sent = mAround.time.Since();
  const auto stem =
    "v" + std::to_string(mNumber) + "-" + std::to_string(mCount);
  for (std::size_t row = 0; row < aRows; ++row) {
    change.values.push_back(stem + (row == 0 ? "" : "b"));
  }
  mAround.seen.changes.push_back(std::move(change));
  return mAround.seen.changes.size() - 1;
}

std::string
session_caller::NewKey()
{
  return outcome::idempotency_key::Make(
           mAround.time.WallNow(), mNumber + 1, mCount)
    .Text();
}

void
session_caller::Write(const std::string& aClass, std::size_t aRows)
{
  const auto change = Begin(aRows);
  auto request = Request(call_kind::kStatements, aClass);
  request.key = mAround.seen.changes[change].key;
  for (const auto& value : mAround.seen.changes[change].values) {
    request.statements.push_back({ "add " + value, {} });
  }
  Call(request, [=, this](const received_answer& aAnswer) {
    OnAnswer(change, request, aAnswer);
  });
}

void
session_caller::OnAnswer(std::size_t aChange,
                         const gateway::caller_request& aRequest,
                         const received_answer& aAnswer)
{
  Note(aChange, aAnswer);
  if (!IsOpen(mAround.seen.changes[aChange].outcome)) {
    Later();
    return;
  }
  const bool again = aRequest.workClass == "draft" && mAround.chance() % 2 == 0;
  if (!again) {
    AskOutcome(aChange, kOutcomeQueries);
    return;
  }
  auto request = aRequest;
  request.session = mToken;
  Call(request, [=, this](const received_answer& aSecond) {
    // That the retry did not run says nothing about the first attempt, unless
    // the idempotency key itself is void.
    const bool settles = aSecond && (aSecond->verdict == verdict::kDone ||
                                     aSecond->why == reason::kKeyVoid);
    if (settles) {
      Note(aChange, aSecond);
    }
    AskOutcome(aChange, kOutcomeQueries);
  });
}

void
session_caller::Note(std::size_t aChange, const received_answer& aAnswer)
{
  auto& change = mAround.seen.changes[aChange];
  change.answered = mAround.time.Since();
  if (!aAnswer) {
    return;
  }
  if (!aAnswer->session.empty()) {
    mToken = aAnswer->session;
  }
  change.outcome = ToOutcome(aAnswer->verdict);
  change.servedBy = aAnswer->servedBy;
  change.repeated = aAnswer->repeated;
  change.why = std::to_string(static_cast<int>(aAnswer->why));
  if (aAnswer->fault) {
    change.why = aAnswer->fault.message();
  }
}

void
session_caller::AskOutcome(std::size_t aChange, unsigned aTries)
{
  if (!IsOpen(mAround.seen.changes[aChange].outcome) || aTries == 0) {
    Later();
    return;
  }
  mAround.time.In(kRetryInterval, [=, this] {
    auto request = Request(call_kind::kOutcome, "");
    request.key = mAround.seen.changes[aChange].key;
    Call(request, [=, this](const received_answer& aAnswer) {
      Note(aChange, aAnswer);
      if (aAnswer) {
        mAround.seen.changes[aChange].repeated = true;
      }
      AskOutcome(aChange, aTries - 1);
    });
  });
}

void
session_caller::Transaction()
{
  const auto change = Begin(2);
  auto request = Request(call_kind::kBegin, "report");
  request.key = mAround.seen.changes[change].key;
  Call(request, [=, this](const received_answer& aAnswer) {
    const bool open = aAnswer && aAnswer->verdict == verdict::kDone;
    if (!open) {
      mAround.seen.changes[change].outcome = told_outcome::kNotRun;
      mAround.seen.changes[change].answered = mAround.time.Since();
      mAround.seen.changes[change].why = "not begun";
      Later();
      return;
    }
    mToken = aAnswer->session;
    TransactionRow(change, aAnswer->transaction, 0);
  });
}

void
session_caller::TransactionRow(std::size_t aChange,
                               const std::string& aTransaction,
                               std::size_t aRow)
{
  auto& change = mAround.seen.changes[aChange];
  if (aRow == change.values.size()) {
    Commit(aChange, aTransaction);
    return;
  }
  auto request = Request(call_kind::kStatement, "");
  request.transaction = aTransaction;
  request.statements = { { "add " + change.values[aRow], {} } };
  Call(request, [=, this](const received_answer& aAnswer) {
    if (aAnswer && aAnswer->verdict == verdict::kDone) {
      TransactionRow(aChange, aTransaction, aRow + 1);
      return;
    }
    // The transaction is never committed.
    mAround.seen.changes[aChange].outcome = told_outcome::kNotRun;
    mAround.seen.changes[aChange].answered = mAround.time.Since();
    mAround.seen.changes[aChange].why = "not committed";
    Later();
  });
}

void
session_caller::Commit(std::size_t aChange, const std::string& aTransaction)
{
  auto request = Request(call_kind::kCommit, "");
  request.transaction = aTransaction;
  Call(request, [=, this](const received_answer& aAnswer) {
    OnAnswer(aChange, request, aAnswer);
  });
}

void
session_caller::Call(const gateway::caller_request& aRequest,
                     const next_step& aNext)
{
  std::vector<gateway_node*> running;
  for (auto* candidate : mGateways) {
    if (candidate->Alive()) {
      running.push_back(candidate);
    }
  }
  if (running.empty()) {
    mAround.time.In(kRetryInterval, [=, this] { Call(aRequest, aNext); });
    return;
  }
  auto* chosen = running[mAround.chance() % running.size()];
  const auto open = std::make_shared<bool>(true);
  const auto take = [open, aNext](const received_answer& aAnswer) {
    if (std::exchange(*open, false)) {
      aNext(aAnswer);
    }
  };
  mAround.time.In(kAnswerTimeout, [take] { take(std::nullopt); });
  chosen->Submit(aRequest, [=, this](const gateway::caller_answer& aAnswer) {
    const auto kept = std::make_shared<const gateway::caller_answer>(aAnswer);
    mAround.time.In(mAround.Transit(), [take, kept] { take(*kept); });
  });
}

} // namespace currantshed::matrix

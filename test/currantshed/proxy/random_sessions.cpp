#include <algorithm>
#include <string>

#include "test/currantshed/proxy/simulated_cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using proxy::failure_code;
using proxy::statement_kind;
using test::change_outcome;

namespace {

constexpr const char* kDatabases[] = { "db-primary", "db-bounded", "db-own" };

bool
IsPromise(failure_code aCode)
{
  switch (aCode) {
    case failure_code::kBusy:
    case failure_code::kAborted:
    case failure_code::kLagging:
    case failure_code::kReadOnly:
    case failure_code::kMisrouted:
    case failure_code::kTooManyConnections:
      return true;
    default:
      return false;
  }
}

/// A caller that sends random requests one after the other, and checks each
/// answer.
class random_caller final : public proxy::caller
{
public:
  random_caller(test::simulated_cluster& aCluster,
                std::uint64_t aNumber,
                std::size_t aVm)
    : mCluster(aCluster)
    , mNumber(aNumber)
    , mVm(aVm)
  {
    Connect();
  }

  void Deliver(const proxy::answer& aAnswer) override
  {
    if (!mWaiting) {
      mCluster.AddViolation("an answer without a request");
      return;
    }
    mWaiting = false;
    ++mCluster.answers;
    Check(aAnswer);
    mCluster.Time().After(Pause(), [this] { Next(); });
  }

  void Close() override
  {
    mCluster.Time().After(1ms, [this] { Reconnect(); });
  }

  [[nodiscard]] bool IsWaiting() const { return mWaiting; }

private:
  std::chrono::milliseconds Pause()
  {
    return std::chrono::milliseconds{ 1 + mCluster.Random()() % 20 };
  }

  void Connect()
  {
    mDatabase = kDatabases[mCluster.Random()() % 3];
    mSession = mCluster.Engine(mVm).Open(mDatabase, *this);
    mValues.clear();
    mShapes.clear();
    mOpen = false;
    mFailed = false;
    mOwnCommit = 0;
    mCluster.Time().After(Pause(), [this, session = mSession] {
      if (session == mSession) {
        Next();
      }
    });
  }

  void Reconnect()
  {
    if (mSession) {
      if (mWaiting) {
        Reported(change_outcome::reported::kUnknown);
      }
      mWaiting = false;
      mCluster.Engine(mVm).Close(*mSession, mCluster.Time().Now());
      Connect();
    }
  }

  void Next()
  {
    if (mWaiting || !mSession) {
      return;
    }
    if (mCluster.Chance(10)) {
      Reconnect();
      return;
    }
    mStatement = {};
    mStatement.id = std::to_string(mNumber) + "-" + std::to_string(++mLast);
    if (mFailed) {
      mStatement.kind = statement_kind::kRollback;
      mStatement.text = "ROLLBACK";
    } else {
      Choose();
    }
    Send();
  }

  void Choose()
  {
    const auto draw = mCluster.Random()() % 100;
    if (mOpen && draw < 20) {
      mStatement.kind = statement_kind::kCommit;
      mStatement.text = "COMMIT";
    } else if (mOpen && draw < 25) {
      mStatement.kind = statement_kind::kRollback;
      mStatement.text = "ROLLBACK";
    } else if (!mOpen && draw < 15) {
      mReadOnly = mCluster.Chance(400);
      mStatement.kind =
        mReadOnly ? statement_kind::kBeginReadOnly : statement_kind::kBegin;
      mStatement.text = mReadOnly ? "BEGIN READ" : "BEGIN";
    } else if (draw < 35) {
      mStatement.kind = statement_kind::kSet;
      mStatement.name = "n" + std::to_string(mCluster.Random()() % 2);
      mStatement.argument = std::to_string(mCluster.Random()() % 3);
    } else if (draw < 45) {
      mStatement.kind = statement_kind::kPrepare;
      mStatement.name = "p" + std::to_string(mCluster.Random()() % 2);
      mStatement.writes = MayWrite() && mCluster.Chance(500);
      mStatement.argument = "shape" + std::to_string(mCluster.Random()() % 3) +
                            (mStatement.writes ? "w" : "r");
    } else if (draw < 60 && !mShapes.empty()) {
      ChooseExecution();
    } else if (draw < 75 && MayWrite()) {
      mStatement.kind = statement_kind::kWrite;
      mStatement.text = "WRITE x 1";
    } else {
      mStatement.kind = statement_kind::kRead;
      mStatement.text = "READ x";
    }
  }

  void ChooseExecution()
  {
    auto chosen = mShapes.begin();
    std::advance(chosen, mCluster.Random()() % mShapes.size());
    const bool writes = chosen->second.back() == 'w';
    if (writes && !MayWrite()) {
      mStatement.kind = statement_kind::kRead;
      mStatement.text = "READ x";
      return;
    }
    mStatement.kind = statement_kind::kExecute;
    mStatement.name = chosen->first;
    mStatement.argument = "x";
    mStatement.text = "EXECUTE " + chosen->first + " x";
  }

  [[nodiscard]] bool MayWrite() const { return !mOpen || !mReadOnly; }

  [[nodiscard]] bool Changes() const
  {
    if (mStatement.kind == statement_kind::kExecute) {
      return mShapes.at(mStatement.name).back() == 'w';
    }
    return mStatement.kind == statement_kind::kWrite;
  }

  void Send()
  {
    test::issued_request issued;
    issued.caller = mNumber;
    issued.values = mValues;
    if (mStatement.kind == statement_kind::kExecute) {
      issued.shape = mShapes.at(mStatement.name);
    }
    if (mStatement.kind == statement_kind::kBegin ||
        mStatement.kind == statement_kind::kBeginReadOnly) {
      mTransaction = ++mTransactions;
      mWrites.clear();
      mBeginRequiredIndex = RequiredIndex();
      mBeginTerm = mCluster.Group().term;
    }
    issued.transaction = mOpen ? mTransaction : 0;
    issued.sentAt = mCluster.Time().Now();
    issued.requiredIndex = mOpen ? mBeginRequiredIndex : RequiredIndex();
    issued.requiredTerm = mOpen ? mBeginTerm : mCluster.Group().term;
    mCluster.issuedRequests[mStatement.id] = issued;
    if (!mOpen) {
      mWrites.clear();
    }
    if (Changes()) {
      mWrites.push_back(mStatement.id);
    }
    mWaiting = true;
    mSentAt = mCluster.Time().Now();
    mCluster.Engine(mVm).Submit(*mSession, mStatement, mCluster.Time().Now());
  }

  // The newest commit that a read sent now must see.
  [[nodiscard]] std::uint64_t RequiredIndex() const
  {
    const auto now = mCluster.Time().Now();
    const bool bounded = mDatabase != "db-primary";
    std::uint64_t least = 0;
    for (const auto& [at, position] : mCluster.acknowledged) {
      if (!bounded || at + 1500ms < now) {
        least = std::max(least, position);
      }
    }
    return mDatabase == "db-own" ? std::max(least, OwnCommit()) : least;
  }

  // A commit of an older term counts as far as the new primary has it.
  [[nodiscard]] std::uint64_t OwnCommit() const
  {
    return mCluster.Retained(mOwnCommit, mOwnTerm);
  }

  void Reported(change_outcome::reported aWhat)
  {
    const bool single = !mOpen && Changes();
    const bool commit = mOpen && mStatement.kind == statement_kind::kCommit;
    if (!single && !commit) {
      return;
    }
    for (const auto& id : mWrites) {
      mCluster.outcomes[id].what = aWhat;
    }
  }

  void Check(const proxy::answer& aAnswer)
  {
    if (mCluster.Time().Now() - mSentAt > 2s) {
      mCluster.AddViolation("an answer after two seconds");
    }
    if (aAnswer.failed) {
      CheckFailure(*aAnswer.failed);
    } else {
      CheckSuccess(aAnswer);
    }
    const auto expected = mFailed ? proxy::transaction_state::kFailed
                          : mOpen ? proxy::transaction_state::kOpen
                                  : proxy::transaction_state::kIdle;
    if (aAnswer.state != expected) {
      mCluster.AddViolation("the answer to " + mStatement.id +
                            " has a wrong state");
    }
  }

  void CheckFailure(const proxy::failure& aWhy)
  {
    if (mStatement.kind == statement_kind::kSet ||
        mStatement.kind == statement_kind::kPrepare ||
        mStatement.kind == statement_kind::kRollback) {
      mCluster.AddViolation("a local statement failed");
    }
    Reported(IsPromise(aWhy.code) ? change_outcome::reported::kNotRun
                                  : change_outcome::reported::kUnknown);
    if (mOpen) {
      mFailed = mStatement.kind != statement_kind::kCommit;
      mOpen = mFailed;
    }
  }

  void CheckSuccess(const proxy::answer& aAnswer)
  {
    ++mCluster.successes;
    switch (mStatement.kind) {
      case statement_kind::kBegin:
      case statement_kind::kBeginReadOnly:
        mOpen = true;
        return;
      case statement_kind::kRollback:
        mOpen = false;
        mFailed = false;
        return;
      case statement_kind::kSet:
        mValues[mStatement.name] = mStatement.argument;
        return;
      case statement_kind::kPrepare:
        mShapes[mStatement.name] = mStatement.argument.value_or("");
        return;
      default:
        break;
    }
    if (aAnswer.signature != "signed-" + mStatement.id) {
      mCluster.AddViolation("success of " + mStatement.id +
                            " without its signature");
    }
    Reported(change_outcome::reported::kAcknowledged);
    const bool commit = mStatement.kind == statement_kind::kCommit;
    if ((commit && !mWrites.empty()) || (!mOpen && Changes())) {
      mOwnCommit = aAnswer.position->index;
      mOwnTerm = aAnswer.position->term;
      mCluster.acknowledged.emplace_back(mCluster.Time().Now(), mOwnCommit);
    }
    if (commit) {
      mOpen = false;
    }
  }

  test::simulated_cluster& mCluster;
  std::uint64_t mNumber;
  std::size_t mVm;
  std::string mDatabase;
  std::optional<proxy::engine::session_id> mSession;
  proxy::session_statement mStatement;
  bool mWaiting = false;
  clock::time_point mSentAt;
  std::uint64_t mLast = 0;
  proxy::session_values mValues;
  std::map<std::string, std::string> mShapes;
  bool mOpen = false;
  bool mReadOnly = false;
  bool mFailed = false;
  std::uint64_t mTransaction = 0;
  std::uint64_t mTransactions = 0;
  std::uint64_t mBeginRequiredIndex = 0;
  position::term_id mBeginTerm = 0;
  std::uint64_t mOwnCommit = 0;
  position::term_id mOwnTerm = 0;
  std::vector<std::string> mWrites;
};

struct session_row
{
  const char* name;
  test::fault_rates rates;
  std::size_t vms;
  unsigned connections;
  bool failsPrimaries;
};

constexpr session_row kRows[] = {
  { "calm, connections for all", {}, 2, 40, false },
  { "calm, through relays", {}, 6, 8, false },
  { "busy servers", { 60, 0, 0, 0 }, 3, 40, false },
  { "lost answers", { 0, 15, 0, 0 }, 3, 12, false },
  { "broken connections", { 0, 0, 15, 50 }, 6, 8, false },
  { "failed primaries", {}, 3, 40, true },
  { "failed primaries, through relays", {}, 6, 8, true },
  { "all faults", { 20, 8, 8, 30 }, 6, 8, true },
};

// Seeds per row; 40 of them took ten seconds per row.
constexpr std::uint32_t kSeeds = 5;

void
CheckOutcomes(test::simulated_cluster& aCluster)
{
  for (const auto& [id, outcome] : aCluster.outcomes) {
    if (outcome.committed > 1) {
      aCluster.AddViolation("change " + id + " took effect twice");
    }
    if (outcome.what == change_outcome::reported::kNotRun &&
        outcome.committed != 0) {
      aCluster.AddViolation("change " + id + " was rejected but took effect");
    }
    if (outcome.what == change_outcome::reported::kAcknowledged &&
        outcome.committed == 0) {
      aCluster.AddViolation("change " + id +
                            " was acknowledged but is missing");
    }
  }
}

std::string
RunSimulation(const session_row& aRow, std::uint32_t aSeed)
{
  std::vector<std::unique_ptr<random_caller>> callers;
  test::simulated_cluster cluster(aSeed, aRow.rates, aRow.vms);
  cluster.Configure(aRow.connections);
  const auto start = cluster.Time().Now();
  cluster.Time().RunUntil(start + 500ms);
  for (std::uint64_t number = 1; number <= 24; ++number) {
    callers.push_back(
      std::make_unique<random_caller>(cluster, number, number % aRow.vms));
  }
  if (aRow.failsPrimaries) {
    for (const auto at : { 1500ms, 5500ms }) {
      cluster.Time().At(start + at, [&cluster] { cluster.FailPrimary(); });
    }
  }
  cluster.Time().RunUntil(start + 10s);
  CheckOutcomes(cluster);
  if (cluster.successes < 500) {
    cluster.AddViolation("too few requests succeeded: " +
                         std::to_string(cluster.successes));
  }
  std::string violations;
  for (std::size_t i = 0;
       i < std::min<std::size_t>(cluster.violations.size(), 5);
       ++i) {
    violations += "; " + cluster.violations[i];
  }
  return violations;
}

} // namespace

TEST_GROUP(random_sessions){};

TEST(random_sessions, session_guarantees_hold_under_faults)
{
  for (const auto& row : kRows) {
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      const auto violations = RunSimulation(row, seed);
      const auto text =
        std::string(row.name) + ", seed " + std::to_string(seed) + violations;
      CHECK_TEXT(violations.empty(), text.c_str());
    }
  }
}

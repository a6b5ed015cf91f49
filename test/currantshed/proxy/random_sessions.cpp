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

/// A caller that does one thing after the other in its session, and checks
/// each answer.
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
      mCluster.AddViolation("an answer to nothing");
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
    mAsked = {};
    mAsked.id = std::to_string(mNumber) + "-" + std::to_string(++mLast);
    if (mFailed) {
      mAsked.kind = statement_kind::kRollback;
      mAsked.text = "ROLLBACK";
    } else {
      Choose();
    }
    Send();
  }

  void Choose()
  {
    const auto draw = mCluster.Random()() % 100;
    if (mOpen && draw < 20) {
      mAsked.kind = statement_kind::kCommit;
      mAsked.text = "COMMIT";
    } else if (mOpen && draw < 25) {
      mAsked.kind = statement_kind::kRollback;
      mAsked.text = "ROLLBACK";
    } else if (!mOpen && draw < 15) {
      mReadOnly = mCluster.Chance(400);
      mAsked.kind =
        mReadOnly ? statement_kind::kBeginReadOnly : statement_kind::kBegin;
      mAsked.text = mReadOnly ? "BEGIN READ" : "BEGIN";
    } else if (draw < 35) {
      mAsked.kind = statement_kind::kSet;
      mAsked.name = "n" + std::to_string(mCluster.Random()() % 2);
      mAsked.argument = std::to_string(mCluster.Random()() % 3);
    } else if (draw < 45) {
      mAsked.kind = statement_kind::kPrepare;
      mAsked.name = "p" + std::to_string(mCluster.Random()() % 2);
      mAsked.writes = MayWrite() && mCluster.Chance(500);
      mAsked.argument = "shape" + std::to_string(mCluster.Random()() % 3) +
                        (mAsked.writes ? "w" : "r");
    } else if (draw < 60 && !mShapes.empty()) {
      ChooseExecution();
    } else if (draw < 75 && MayWrite()) {
      mAsked.kind = statement_kind::kWrite;
      mAsked.text = "WRITE x 1";
    } else {
      mAsked.kind = statement_kind::kRead;
      mAsked.text = "READ x";
    }
  }

  void ChooseExecution()
  {
    auto chosen = mShapes.begin();
    std::advance(chosen, mCluster.Random()() % mShapes.size());
    const bool writes = chosen->second.back() == 'w';
    if (writes && !MayWrite()) {
      mAsked.kind = statement_kind::kRead;
      mAsked.text = "READ x";
      return;
    }
    mAsked.kind = statement_kind::kExecute;
    mAsked.name = chosen->first;
    mAsked.argument = "x";
    mAsked.text = "EXECUTE " + chosen->first + " x";
  }

  [[nodiscard]] bool MayWrite() const { return !mOpen || !mReadOnly; }

  [[nodiscard]] bool Changes() const
  {
    if (mAsked.kind == statement_kind::kExecute) {
      return mShapes.at(mAsked.name).back() == 'w';
    }
    return mAsked.kind == statement_kind::kWrite;
  }

  void Send()
  {
    test::issued_request known;
    known.caller = mNumber;
    known.values = mValues;
    if (mAsked.kind == statement_kind::kExecute) {
      known.shape = mShapes.at(mAsked.name);
    }
    if (mAsked.kind == statement_kind::kBegin ||
        mAsked.kind == statement_kind::kBeginReadOnly) {
      mTransaction = ++mTransactions;
      mWrites.clear();
      mBegunMustSee = MustSee();
      mBegunTerm = mCluster.Group().term;
    }
    known.transaction = mOpen ? mTransaction : 0;
    known.sentAt = mCluster.Time().Now();
    known.mustSee = mOpen ? mBegunMustSee : MustSee();
    known.mustSeeTerm = mOpen ? mBegunTerm : mCluster.Group().term;
    mCluster.known[mAsked.id] = known;
    if (!mOpen) {
      mWrites.clear();
    }
    if (Changes()) {
      mWrites.push_back(mAsked.id);
    }
    mWaiting = true;
    mSentAt = mCluster.Time().Now();
    mCluster.Engine(mVm).Submit(*mSession, mAsked, mCluster.Time().Now());
  }

  // The newest commit that a read sent now must see.
  [[nodiscard]] std::uint64_t MustSee() const
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
    return mCluster.Kept(mOwnCommit, mOwnTerm);
  }

  void Reported(change_outcome::reported aWhat)
  {
    const bool single = !mOpen && Changes();
    const bool commit = mOpen && mAsked.kind == statement_kind::kCommit;
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
      mCluster.AddViolation("the answer to " + mAsked.id +
                            " has a wrong state");
    }
  }

  void CheckFailure(const proxy::failure& aWhy)
  {
    if (mAsked.kind == statement_kind::kSet ||
        mAsked.kind == statement_kind::kPrepare ||
        mAsked.kind == statement_kind::kRollback) {
      mCluster.AddViolation("a local statement failed");
    }
    Reported(IsPromise(aWhy.code) ? change_outcome::reported::kNotRun
                                  : change_outcome::reported::kUnknown);
    if (mOpen) {
      mFailed = mAsked.kind != statement_kind::kCommit;
      mOpen = mFailed;
    }
  }

  void CheckSuccess(const proxy::answer& aAnswer)
  {
    ++mCluster.successes;
    switch (mAsked.kind) {
      case statement_kind::kBegin:
      case statement_kind::kBeginReadOnly:
        mOpen = true;
        return;
      case statement_kind::kRollback:
        mOpen = false;
        mFailed = false;
        return;
      case statement_kind::kSet:
        mValues[mAsked.name] = mAsked.argument;
        return;
      case statement_kind::kPrepare:
        mShapes[mAsked.name] = mAsked.argument;
        return;
      default:
        break;
    }
    if (aAnswer.signature != "signed-" + mAsked.id) {
      mCluster.AddViolation("success of " + mAsked.id +
                            " without its signature");
    }
    Reported(change_outcome::reported::kAcknowledged);
    const bool commit = mAsked.kind == statement_kind::kCommit;
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
  proxy::session_statement mAsked;
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
  std::uint64_t mBegunMustSee = 0;
  position::term_id mBegunTerm = 0;
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
  { "calm, through other VMs", {}, 6, 8, false },
  { "busy servers", { 60, 0, 0, 0 }, 3, 40, false },
  { "lost answers", { 0, 15, 0, 0 }, 3, 12, false },
  { "broken connections", { 0, 0, 15, 50 }, 6, 8, false },
  { "primaries lost", {}, 3, 40, true },
  { "primaries lost, through other VMs", {}, 6, 8, true },
  { "all of it", { 20, 8, 8, 30 }, 6, 8, true },
};

// Seeds of each row; 40 of them took ten seconds a row.
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
      aCluster.AddViolation("change " + id + " was refused, and took effect");
    }
    if (outcome.what == change_outcome::reported::kAcknowledged &&
        outcome.committed == 0) {
      aCluster.AddViolation("change " + id +
                            " was acknowledged, and is not there");
    }
  }
}

std::string
RunSimulation(const session_row& aRow, std::uint32_t aSeed)
{
  std::vector<std::unique_ptr<random_caller>> callers;
  test::simulated_cluster simulated_cluster(aSeed, aRow.rates, aRow.vms);
  simulated_cluster.Configure(aRow.connections);
  const auto start = simulated_cluster.Time().Now();
  simulated_cluster.Time().RunUntil(start + 500ms);
  for (std::uint64_t number = 1; number <= 24; ++number) {
    callers.push_back(std::make_unique<random_caller>(
      simulated_cluster, number, number % aRow.vms));
  }
  if (aRow.failsPrimaries) {
    for (const auto at : { 1500ms, 5500ms }) {
      simulated_cluster.Time().At(
        start + at, [&simulated_cluster] { simulated_cluster.FailPrimary(); });
    }
  }
  simulated_cluster.Time().RunUntil(start + 10s);
  CheckOutcomes(simulated_cluster);
  if (simulated_cluster.successes < 500) {
    simulated_cluster.AddViolation("hardly anything was served: " +
                                   std::to_string(simulated_cluster.successes));
  }
  std::string violations;
  for (std::size_t i = 0;
       i < std::min<std::size_t>(simulated_cluster.violations.size(), 5);
       ++i) {
    violations += "; " + simulated_cluster.violations[i];
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

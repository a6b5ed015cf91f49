#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "test/currantshed/group/fake_group.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::clock::time_point;
using currantshed::group::answer;
using currantshed::group::operation;
using currantshed::group::request_id;
using currantshed::outcome::verdict;
using currantshed::position::log_position;
using currantshed::test::fake_group;
using currantshed::upstream::server_role;
using namespace std::chrono_literals;

namespace {

constexpr unsigned kSeeds = 40;
constexpr int kSteps = 400;
constexpr auto kBound = 400ms;
const char* const kServers[] = { "s1", "s2", "s3" };

// What a read must see: all that was acknowledged before it, what its session
// knows of, or what was acknowledged longer ago than its bound.
enum class sight
{
  kFresh,
  kSession,
  kBounded,
};

// What one caller asked, and what it must see.
struct asked
{
  request_id id;
  operation kind;
  std::string value;
  // Values acknowledged to this session, or for fresh reads to anyone, before
  // it was asked.
  std::set<std::string> mustSee;
  bool judged = false;
};

// Drives a group with random requests and faults, and judges the answers by
// what the last primary holds in the end.
class random_run
{
public:
  explicit random_run(unsigned aSeed)
    : mRandom(aSeed)
  {
  }

  std::string Go()
  {
    mGroup.Run(100ms);
    for (int i = 0; i < kSteps; ++i) {
      Step();
      mGroup.Run(std::chrono::milliseconds(Below(6)));
      Judge();
    }
    Heal();
    for (int i = 0; i < 2; ++i) {
      mGroup.Run(3000ms);
      Judge();
    }
    JudgeValues();
    return mViolation;
  }

private:
  unsigned Below(unsigned aBound)
  {
    return static_cast<unsigned>(mRandom() % aBound);
  }

  void Step()
  {
    switch (Below(14)) {
      case 0:
      case 1:
      case 2:
      case 3:
        Write();
        break;
      case 4:
      case 5:
      case 6:
      case 7:
        Read(static_cast<sight>(Below(3)));
        break;
      case 8:
        Transaction();
        break;
      case 9:
        Cancel();
        break;
      default:
        if (Below(4) == 0) {
          Fault();
        }
        break;
    }
  }

  void Write()
  {
    const auto value = "v" + std::to_string(++mLast);
    auto write = mGroup.Write(value, Below(2) == 0);
    write.deadline = mGroup.Now() + std::chrono::milliseconds(50 + Below(800));
    mAsked.push_back({ mGroup.Submit(write), operation::kWrite, value, {} });
  }

  void Read(sight aSight)
  {
    const auto isFresh = aSight == sight::kFresh;
    auto read = mGroup.Read(isFresh ? 0ms : kBound);
    if (aSight == sight::kSession) {
      read.floor = mFloor;
    }
    std::set<std::string> mustSee;
    for (const auto& [value, when] : mAcknowledged) {
      if (aSight != sight::kBounded || when + kBound <= mGroup.Now()) {
        mustSee.insert(value);
      }
    }
    mAsked.push_back({ mGroup.Submit(read), operation::kRead, "", mustSee });
  }

  // Takes back the newest request that has no answer.
  void Cancel()
  {
    if (mAsked.empty() || mAsked.back().judged ||
        mGroup.Answer(mAsked.back().id) != nullptr) {
      return;
    }
    mGroup.Engine().Cancel(mAsked.back().id, mGroup.Now());
    mAsked.pop_back();
  }

  void Transaction()
  {
    const auto value = "t" + std::to_string(++mLast);
    auto begin = mGroup.Write(value);
    begin.kind = operation::kBegin;
    mBegun[mGroup.Submit(begin)] = value;
  }

  void Fault()
  {
    auto& server = mGroup.Server(kServers[Below(3)]);
    switch (Below(9)) {
      case 0:
        server.cut = !server.cut;
        break;
      case 1:
        server.isolated = !server.isolated;
        break;
      case 2:
        server.lagging = !server.lagging;
        break;
      case 3:
        server.applyPaused = !server.applyPaused;
        break;
      case 4:
        server.tearNextReply = true;
        break;
      case 5:
        server.tearNextBatch = true;
        break;
      case 6:
        mGroup.LoseConnections(kServers[Below(3)]);
        break;
      case 7:
        if (server.frozen) {
          Thaw();
        } else {
          server.frozen = true;
        }
        break;
      default:
        Failover();
        break;
    }
  }

  void Thaw()
  {
    for (const auto* name : kServers) {
      mGroup.Thaw(name);
    }
  }

  // Fences two servers that can be reached and promotes the newer one, after
  // the validity has passed.
  void Failover()
  {
    const auto out = Below(3);
    std::vector<std::string> fenced;
    for (unsigned i = 0; i < 3; ++i) {
      if (i != out) {
        fenced.push_back(kServers[i]);
      }
    }
    auto& first = mGroup.Server(fenced[0]);
    auto& second = mGroup.Server(fenced[1]);
    const auto term = ++mTerm;
    mGroup.Fence(fenced[0], term);
    mGroup.Fence(fenced[1], term);
    mGroup.Run(200ms);
    Judge();
    const auto& newest =
      first.Stored() >= second.Stored() ? fenced[0] : fenced[1];
    mGroup.Promote(newest, fenced);
    mTerm = mGroup.Server(newest).term;
  }

  void Heal()
  {
    for (const auto* name : kServers) {
      auto& server = mGroup.Server(name);
      server.cut = false;
      server.isolated = false;
      server.lagging = false;
      server.applyPaused = false;
      server.tearNextReply = false;
      server.tearNextBatch = false;
    }
    Thaw();
    JoinLastTerm();
  }

  // Servers that are out of the last term join it.
  void JoinLastTerm()
  {
    std::string primary;
    for (const auto* name : kServers) {
      const auto& server = mGroup.Server(name);
      const auto isPrimary = server.role == server_role::kPrimary;
      if (isPrimary &&
          (primary.empty() || server.term > mGroup.Server(primary).term)) {
        primary = name;
      }
    }
    const auto term = mGroup.Server(primary).term;
    for (const auto* name : kServers) {
      auto& server = mGroup.Server(name);
      if (name != primary && server.term <= term) {
        server.term = term;
        server.role = server_role::kReplica;
        server.following = primary;
      }
    }
  }

  void Violation(const std::string& aWhat)
  {
    if (mViolation.empty()) {
      mViolation = aWhat;
    }
  }

  void Judge()
  {
    for (auto& one : mAsked) {
      const auto* told = mGroup.Answer(one.id);
      if (one.judged || told == nullptr) {
        continue;
      }
      one.judged = true;
      if (one.kind == operation::kRead) {
        JudgeRead(one, *told);
      } else {
        JudgeChange(one, *told);
      }
    }
    for (auto it = mBegun.begin(); it != mBegun.end();) {
      const auto* told = mGroup.Answer(it->first);
      if (told == nullptr) {
        ++it;
        continue;
      }
      if (told->verdict == verdict::kDone) {
        const auto commit = mGroup.In(operation::kCommit, told->transaction);
        mAsked.push_back(
          { mGroup.Submit(commit), operation::kCommit, it->second, {} });
      } else {
        mNotRun.insert(it->second);
      }
      it = mBegun.erase(it);
    }
  }

  void JudgeChange(const asked& aAsked, const answer& aTold)
  {
    if (aTold.verdict == verdict::kDone) {
      mAcknowledged.emplace(aAsked.value, mGroup.Now());
      CheckNotReplaced(aTold);
      mFloor = std::max(mFloor, aTold.position);
    } else if (aTold.verdict == verdict::kNotRun) {
      mNotRun.insert(aAsked.value);
    }
  }

  // A failover promotes only after the validity, so nothing may be told as
  // done for an earlier term from then on.
  void CheckNotReplaced(const answer& aTold)
  {
    for (const auto* name : kServers) {
      const auto& server = mGroup.Server(name);
      if (server.role == server_role::kPrimary &&
          server.term > aTold.position.term) {
        Violation("acknowledged by a replaced primary");
      }
    }
  }

  void JudgeRead(const asked& aAsked, const answer& aTold)
  {
    if (aTold.verdict != verdict::kDone) {
      return;
    }
    mFloor = std::max(mFloor, aTold.position);
    std::set<std::string> seen;
    for (const auto& cell : aTold.results[0].cells) {
      seen.insert(*cell);
      mShown.insert(*cell);
    }
    for (const auto& value : aAsked.mustSee) {
      if (!seen.contains(value)) {
        Violation("read misses " + value);
      }
    }
  }

  void JudgeValues()
  {
    std::map<std::string, int> count;
    for (const auto& value : mGroup.Values()) {
      ++count[value];
    }
    for (const auto& [value, times] : count) {
      if (times > 1) {
        Violation("doubled " + value);
      }
      if (mNotRun.contains(value)) {
        Violation("told not run, but ran " + value);
      }
    }
    for (const auto& [value, when] : mAcknowledged) {
      if (!count.contains(value)) {
        Violation("lost " + value);
      }
    }
    for (const auto& value : mShown) {
      if (!count.contains(value)) {
        Violation("showed what was not kept " + value);
      }
    }
    for (const auto& one : mAsked) {
      if (!one.judged) {
        Violation("no answer");
      }
    }
    if (mGroup.Engine().Pending() != 0) {
      Violation("pending " + std::to_string(mGroup.Engine().Pending()));
    }
  }

  std::mt19937 mRandom;
  fake_group mGroup;
  std::vector<asked> mAsked;
  std::map<request_id, std::string> mBegun;
  // When each value was seen to be acknowledged.
  std::map<std::string, time_point> mAcknowledged;
  std::set<std::string> mNotRun;
  std::set<std::string> mShown;
  log_position mFloor;
  int mLast = 0;
  std::uint64_t mTerm = 1;
  // The first breach found; empty while there is none.
  std::string mViolation;
};

} // namespace

TEST_GROUP(random_faults){};

TEST(random_faults, promises_hold)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const auto violation = random_run(seed).Go();
    const auto name = "seed " + std::to_string(seed) + ": " + violation;
    CHECK_TEXT(violation.empty(), name.c_str());
  }
}

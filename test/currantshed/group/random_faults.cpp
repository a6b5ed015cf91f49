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

// What a read must see: everything acknowledged before it, everything its
// session knows of, or everything acknowledged longer ago than its bound.
enum class visibility
{
  kFresh,
  kSession,
  kBounded,
};

// A submitted request and what it must see.
struct submitted_request
{
  request_id id;
  operation kind;
  std::string value;
  // Values acknowledged to this session, or for fresh reads to anyone, before
  // the request.
  std::set<std::string> mustSee;
  bool checked = false;
};

// Runs a group under random requests and faults, and checks the answers against
// the final state of the last primary.
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
      CheckAnswers();
    }
    Heal();
    for (int i = 0; i < 2; ++i) {
      mGroup.Run(3000ms);
      CheckAnswers();
    }
    CheckValues();
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
        Read(static_cast<visibility>(Below(3)));
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
    mRequests.push_back({ mGroup.Submit(write), operation::kWrite, value, {} });
  }

  void Read(visibility aVisibility)
  {
    const auto isFresh = aVisibility == visibility::kFresh;
    auto read = mGroup.Read(isFresh ? 0ms : kBound);
    if (aVisibility == visibility::kSession) {
      read.floor = mSessionPosition;
    }
    std::set<std::string> mustSee;
    for (const auto& [value, when] : mAcknowledged) {
      if (aVisibility != visibility::kBounded ||
          when + kBound <= mGroup.Now()) {
        mustSee.insert(value);
      }
    }
    mRequests.push_back({ mGroup.Submit(read), operation::kRead, "", mustSee });
  }

  // Cancels the newest request if it has no answer.
  void Cancel()
  {
    if (mRequests.empty() || mRequests.back().checked ||
        mGroup.Answer(mRequests.back().id) != nullptr) {
      return;
    }
    mGroup.Engine().Cancel(mRequests.back().id, mGroup.Now());
    mRequests.pop_back();
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

  // Fences two servers and, after the validity has passed, promotes the one
  // with the newer log.
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
    CheckAnswers();
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

  // Makes servers that are not in the last term join it.
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

  void CheckAnswers()
  {
    for (auto& one : mRequests) {
      const auto* result = mGroup.Answer(one.id);
      if (one.checked || result == nullptr) {
        continue;
      }
      one.checked = true;
      if (one.kind == operation::kRead) {
        CheckRead(one, *result);
      } else {
        CheckChange(one, *result);
      }
    }
    for (auto it = mBegun.begin(); it != mBegun.end();) {
      const auto* result = mGroup.Answer(it->first);
      if (result == nullptr) {
        ++it;
        continue;
      }
      if (result->verdict == verdict::kDone) {
        const auto commit = mGroup.In(operation::kCommit, result->transaction);
        mRequests.push_back(
          { mGroup.Submit(commit), operation::kCommit, it->second, {} });
      } else {
        mNotRun.insert(it->second);
      }
      it = mBegun.erase(it);
    }
  }

  void CheckChange(const submitted_request& aRequest, const answer& aAnswer)
  {
    if (aAnswer.verdict == verdict::kDone) {
      mAcknowledged.emplace(aRequest.value, mGroup.Now());
      CheckNotReplaced(aAnswer);
      mSessionPosition = std::max(mSessionPosition, aAnswer.position);
    } else if (aAnswer.verdict == verdict::kNotRun) {
      mNotRun.insert(aRequest.value);
    }
  }

  // A failover promotes only after the validity, so nothing may be acknowledged
  // for an earlier term from then on.
  void CheckNotReplaced(const answer& aAnswer)
  {
    for (const auto* name : kServers) {
      const auto& server = mGroup.Server(name);
      if (server.role == server_role::kPrimary &&
          server.term > aAnswer.position.term) {
        Violation("acknowledged by a replaced primary");
      }
    }
  }

  void CheckRead(const submitted_request& aRequest, const answer& aAnswer)
  {
    if (aAnswer.verdict != verdict::kDone) {
      return;
    }
    mSessionPosition = std::max(mSessionPosition, aAnswer.position);
    std::set<std::string> seen;
    for (const auto& cell : aAnswer.results[0].cells) {
      seen.insert(*cell);
      mShown.insert(*cell);
    }
    for (const auto& value : aRequest.mustSee) {
      if (!seen.contains(value)) {
        Violation("read lacks " + value);
      }
    }
  }

  void CheckValues()
  {
    std::map<std::string, int> count;
    for (const auto& value : mGroup.Values()) {
      ++count[value];
    }
    for (const auto& [value, times] : count) {
      if (times > 1) {
        Violation("applied twice: " + value);
      }
      if (mNotRun.contains(value)) {
        Violation("reported as not run, but ran: " + value);
      }
    }
    for (const auto& [value, when] : mAcknowledged) {
      if (!count.contains(value)) {
        Violation("lost " + value);
      }
    }
    for (const auto& value : mShown) {
      if (!count.contains(value)) {
        Violation("showed a value that was not kept: " + value);
      }
    }
    for (const auto& one : mRequests) {
      if (!one.checked) {
        Violation("no answer");
      }
    }
    if (mGroup.Engine().Pending() != 0) {
      Violation("pending " + std::to_string(mGroup.Engine().Pending()));
    }
  }

  std::mt19937 mRandom;
  fake_group mGroup;
  std::vector<submitted_request> mRequests;
  std::map<request_id, std::string> mBegun;
  // When each value was acknowledged.
  std::map<std::string, time_point> mAcknowledged;
  std::set<std::string> mNotRun;
  std::set<std::string> mShown;
  log_position mSessionPosition;
  int mLast = 0;
  std::uint64_t mTerm = 1;
  // First violation found; empty if there is none.
  std::string mViolation;
};

} // namespace

TEST_GROUP(random_faults){};

TEST(random_faults, guarantees_hold)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const auto violation = random_run(seed).Go();
    const auto name = "seed " + std::to_string(seed) + ": " + violation;
    CHECK_TEXT(violation.empty(), name.c_str());
  }
}

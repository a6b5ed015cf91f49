#include "test/currantshed/customer/model.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace currantshed::test {

using namespace std::chrono_literals;

namespace {

constexpr auto kStep = 10ms;
constexpr std::size_t kVms = 12;
constexpr std::size_t kDomains = 3;
constexpr auto kKeyBound = 5000ms;
constexpr auto kWindow = 5000ms;
constexpr auto kShareInterval = 400ms;
/// The longest that a request waits between its reading and its sending.
constexpr int kLongestWait = 300;
const customer::quota kLimit{ 60, 60 };
constexpr double kExcess = 0.1;
constexpr double kTolerance = 20;
constexpr const char* kCustomer = "baker";

std::string
Name(std::size_t aVm)
{
  return std::to_string(aVm);
}

std::size_t
MostInWindow()
{
  const double seconds = std::chrono::duration<double>(kWindow).count();
  return static_cast<std::size_t>(
    (kLimit.perSecond * seconds + kLimit.burst) * (1 + kExcess) + kTolerance);
}

} // namespace

/// One VM: the real decisions, and what the process around them holds.
struct customers_model::vm
{
  struct waiting
  {
    clock::time_point askedAt;
    clock::time_point sendAt;
  };

  std::uint64_t life = 1;
  clock::time_point startedAt;
  clock::time_point downUntil{};
  clock::time_point frozenUntil{};
  /// What came while it stood still.
  std::vector<std::function<void()>> held;
  int side = 0;
  bool isCutFromStore = false;
  std::uint64_t version = 0;
  bool isConfigured = false;
  customer::freshness freshness{ kKeyBound };
  node::freshness_check_schedule checks;
  customer::token_accrual share;
  customer::token_buckets bank{ kWindow };
  customer::token_cache purse;
  node::token_client desk;
  clock::time_point nextShare{};
  /// Requests without a token, and those that wait to be sent.
  std::deque<clock::time_point> tokenless;
  std::vector<waiting> toSend;
};

customers_model::customers_model(std::uint32_t aSeed,
                                 customers_model_bug aMistake)
  : mRandom(aSeed)
  , mMistake(aMistake)
  , mVms(kVms)
  , mNextChange(mTime.Now() + 4s)
  , mLoops(aSeed % 4 == 0 ? 6 : 1)
{
  for (std::size_t i = 0; i < kVms; ++i) {
    Restart(i);
  }
}

customers_model::~customers_model() = default;

customer::quota
customers_model::Limit() const
{
  auto limit = kLimit;
  if (mMistake == customers_model_bug::kBankWithoutBound) {
    limit.burst = 1e6;
  }
  return limit;
}

bool
customers_model::Chance(unsigned aOfThousand)
{
  return mRandom() % 1000 < aOfThousand;
}

std::chrono::milliseconds
customers_model::Delay()
{
  return Chance(20) ? std::chrono::milliseconds{ mRandom() % 3000 }
                    : std::chrono::milliseconds{ 1 + mRandom() % 6 };
}

std::chrono::milliseconds
customers_model::StoreDelay()
{
  return mIsStoreSlow ? std::chrono::milliseconds{ mRandom() % 2500 } : Delay();
}

bool
customers_model::IsUp(std::size_t aVm) const
{
  return mTime.Now() >= mVms[aVm].downUntil;
}

bool
customers_model::Reaches(std::size_t aFrom, std::size_t aTo) const
{
  return IsUp(aFrom) && IsUp(aTo) && mVms[aFrom].side == mVms[aTo].side;
}

void
customers_model::Restart(std::size_t aVm)
{
  auto& one = mVms[aVm];
  const auto life = one.life + 1;
  const auto side = one.side;
  const auto cut = one.isCutFromStore;
  one = vm{};
  one.life = life;
  one.side = side;
  one.isCutFromStore = cut;
  one.startedAt = mTime.Now() + 400ms;
  one.downUntil = one.startedAt;
  one.checks.SetRank(aVm);
  one.bank.SetCoordinatorCount(kDomains);
  // The first VMs of each domain collect.
  const std::vector<std::string> own{ Name(aVm % kDomains),
                                      Name(aVm % kDomains + kDomains) };
  std::vector<std::vector<std::string>> others;
  for (std::size_t i = 0; i < kDomains; ++i) {
    if (i != aVm % kDomains) {
      others.push_back({ Name(i) });
    }
  }
  one.desk.SetCoordinators(own, others);
  if (mMistake == customers_model_bug::kBankStartsFull) {
    // A third of the whole burst.
    one.bank = customer::token_buckets{ 0ms };
    one.bank.SetCoordinatorCount(kDomains);
    (void)one.bank.GrantTokens(kCustomer, kLimit, 0);
    one.bank.AddShare("full",
                      life,
                      1us,
                      customer::PartitionOf(kCustomer),
                      customer::share{ 60 });
  }
}

void
customers_model::Send(std::size_t aFrom,
                      std::size_t aTo,
                      std::function<void()> aWhat)
{
  const auto life = mVms[aTo].life;
  auto arrive = [this, aFrom, aTo, life, what = std::move(aWhat)] {
    auto& to = mVms[aTo];
    if (to.life != life || !Reaches(aFrom, aTo)) {
      return;
    }
    if (mTime.Now() < to.frozenUntil) {
      to.held.push_back(what);
    } else {
      what();
    }
  };
  mTime.After(Delay(), arrive);
  if (Chance(20)) {
    mTime.After(Delay(), arrive);
  }
}

void
customers_model::Run(std::chrono::seconds aSpan)
{
  const auto end = mTime.Now() + aSpan;
  while (mTime.Now() < end && wrong.size() < 5) {
    mTime.RunUntil(mTime.Now() + kStep);
    Step();
  }
}

void
customers_model::Step()
{
  Trouble();
  for (std::size_t i = 0; i < kVms; ++i) {
    ++steps;
    if (!IsUp(i) || mTime.Now() < mVms[i].frozenUntil) {
      continue;
    }
    for (auto& what : std::exchange(mVms[i].held, {})) {
      what();
    }
    Work(i);
  }
}

void
customers_model::Trouble()
{
  const auto now = mTime.Now();
  if (now >= mNextChange) {
    ++mVersion;
    if (mVersion % 2 == 1) {
      mRevokedAt = now;
    }
    mNextChange = now + std::chrono::milliseconds{ 500 + mRandom() % 16000 };
  }
  if (Chance(2)) {
    mIsStoreAway = !mIsStoreAway && Chance(500);
  }
  if (Chance(4)) {
    mIsStoreSlow = !mIsStoreSlow;
  }
  if (Chance(2)) {
    mIsSurge = !mIsSurge;
  }
  if (Chance(3)) {
    mAreHasty = !mAreHasty && Chance(300);
  }
  if (Chance(2)) {
    const bool heals = Chance(600);
    const auto sides = Chance(500) ? 2U : 6U;
    for (auto& one : mVms) {
      one.side = heals ? 0 : static_cast<int>(mRandom() % sides);
    }
  }
  if (Chance(3)) {
    const bool heals = Chance(500);
    for (auto& one : mVms) {
      one.isCutFromStore = !heals && Chance(400);
    }
  }
  if (Chance(3)) {
    const auto until = now + std::chrono::milliseconds{ mRandom() % 8000 };
    for (auto& one : mVms) {
      one.frozenUntil = Chance(250) ? until : one.frozenUntil;
    }
  }
  if (Chance(mLoops)) {
    mLoopUntil = now + 6s;
  }
  if (now < mLoopUntil && now >= mNextLoop) {
    mNextLoop = now + 900ms;
    for (std::size_t i = 0; i < kDomains; ++i) {
      Restart(i);
    }
  }
  if (Chance(2)) {
    const auto share = mRandom() % 1000;
    for (std::size_t i = 0; i < kVms; ++i) {
      if (Chance(static_cast<unsigned>(share))) {
        Restart(i);
      }
    }
  }
}

void
customers_model::Work(std::size_t aVm)
{
  auto& one = mVms[aVm];
  const auto now = mTime.Now();
  one.share.Begin(one.startedAt);
  one.desk.Tick(now);
  Check(aVm);
  Share(aVm);
  const unsigned asked = mIsSurge ? 150 : 20;
  for (int i = 0; i < 2; ++i) {
    if (Chance(asked)) {
      Arrive(aVm);
    }
  }
  Carry(aVm);
  SendWaiting(aVm);
}

// Asks the store whether there is anything newer, and passes the proof on.
void
customers_model::Check(std::size_t aVm)
{
  auto& one = mVms[aVm];
  const auto asked = mTime.Now();
  if (asked < one.checks.NextCheck(one.freshness.VerifiedAt())) {
    return;
  }
  one.checks.OnRequestSent();
  const auto life = one.life;
  mTime.After(StoreDelay(), [this, aVm, asked, life] {
    const bool isLost =
      mIsStoreAway || mVms[aVm].isCutFromStore || mVms[aVm].life != life;
    const auto seen = mVersion;
    mTime.After(StoreDelay(), [this, aVm, asked, life, isLost, seen] {
      auto& back = mVms[aVm];
      if (back.life != life) {
        return;
      }
      const auto take = [this, aVm, asked, isLost, seen] {
        auto& self = mVms[aVm];
        self.checks.OnResponse(!isLost, mTime.Now());
        if (isLost || seen < self.version) {
          return;
        }
        self.version = seen;
        self.isConfigured = true;
        self.freshness.MarkVerified(
          mMistake == customers_model_bug::kProofDatedByAnswer ? mTime.Now()
                                                               : asked);
        Spread(aVm);
      };
      if (mTime.Now() < back.frozenUntil) {
        back.held.push_back(take);
      } else {
        take();
      }
    });
  });
}

// What another VM makes of a proof: no more than is known here.
void
customers_model::Spread(std::size_t aVm)
{
  const auto version = mVms[aVm].version;
  const auto provedAt = mVms[aVm].freshness.VerifiedAt();
  for (std::size_t to = 0; to < kVms; ++to) {
    if (to == aVm) {
      continue;
    }
    Send(aVm, to, [this, to, version, provedAt] {
      auto& other = mVms[to];
      if (version < other.version) {
        return;
      }
      other.version = version;
      other.isConfigured = true;
      other.freshness.MarkVerified(
        mMistake == customers_model_bug::kProofNotAged ? mTime.Now()
                                                       : provedAt - 1ms);
    });
  }
}

void
customers_model::Share(std::size_t aVm)
{
  auto& one = mVms[aVm];
  const auto now = mTime.Now();
  const auto collector =
    one.desk.CoordinatorOf(customer::PartitionOf(kCustomer), now);
  if (now < one.nextShare || collector.empty()) {
    return;
  }
  one.nextShare = now + kShareInterval;
  const auto to = std::stoul(collector);
  const auto share = one.share.Take(kVms, now);
  const auto life = one.life;
  const auto arrive = [this, aVm, to, share, life, now] {
    if (mTime.Now() - now >= 700ms) {
      return;
    }
    auto sentAt = std::chrono::duration_cast<std::chrono::microseconds>(
      now.time_since_epoch());
    if (mMistake == customers_model_bug::kSharesCountTwice) {
      sentAt = std::chrono::microseconds{ static_cast<std::int64_t>(++steps) };
    }
    mVms[to].bank.AddShare(
      Name(aVm), life, sentAt, customer::PartitionOf(kCustomer), share);
  };
  if (to == aVm) {
    arrive();
  } else {
    Send(aVm, to, arrive);
    // One message in some comes twice, whatever the network does.
    if (mMistake == customers_model_bug::kSharesCountTwice) {
      Send(aVm, to, arrive);
    }
  }
}

// A caller asks. The key is looked at as the request is read.
void
customers_model::Arrive(std::size_t aVm)
{
  auto& one = mVms[aVm];
  const auto now = mTime.Now();
  const bool isInForce =
    one.isConfigured && one.version % 2 == 0 && one.freshness.Holds(now);
  if (!isInForce) {
    ++refused;
    return;
  }
  if (one.tokenless.empty() && one.purse.Take(kCustomer, now)) {
    one.toSend.push_back(
      { now, now + std::chrono::milliseconds{ mRandom() % kLongestWait } });
    return;
  }
  one.tokenless.push_back(now);
  one.desk.Request(kCustomer, 1, now);
}

void
customers_model::Carry(std::size_t aVm)
{
  auto& one = mVms[aVm];
  const auto now = mTime.Now();
  for (auto& ask : one.desk.TakeRequests()) {
    const auto to = std::stoul(ask.vm);
    if (to == aVm) {
      const auto got = one.bank.GrantTokens(kCustomer, Limit(), ask.count);
      one.desk.OnResponse(ask.number, got.count, got.retryAfter, now);
      continue;
    }
    const auto life = one.life;
    Send(aVm, to, [this, aVm, to, ask, life] {
      const auto got = mVms[to].bank.GrantTokens(kCustomer, Limit(), ask.count);
      Send(to, aVm, [this, aVm, ask, got, life] {
        if (mVms[aVm].life == life) {
          mVms[aVm].desk.OnResponse(
            ask.number, got.count, got.retryAfter, mTime.Now());
        }
      });
    });
  }
  Granted(aVm, one.desk.TakeResults());
}

void
customers_model::Granted(std::size_t aVm,
                         const std::vector<node::token_result>& aWhat)
{
  auto& one = mVms[aVm];
  const auto now = mTime.Now();
  for (const auto& outcome : aWhat) {
    one.purse.Put(kCustomer, outcome.granted, outcome.askedAt);
    for (unsigned i = 0; i < outcome.refused && !one.tokenless.empty(); ++i) {
      one.tokenless.pop_front();
      ++refused;
    }
  }
  // Callers go away after a moment.
  const auto patience = mAreHasty ? 1ms : 200ms;
  while (!one.tokenless.empty() && now >= one.tokenless.front() + patience) {
    one.tokenless.pop_front();
    ++refused;
  }
  while (!one.tokenless.empty() && one.purse.Take(kCustomer, now)) {
    one.toSend.push_back(
      { one.tokenless.front(),
        now + std::chrono::milliseconds{ mRandom() % kLongestWait } });
    one.tokenless.pop_front();
  }
}

void
customers_model::SendWaiting(std::size_t aVm)
{
  auto& one = mVms[aVm];
  const auto now = mTime.Now();
  for (const auto& waiting : std::exchange(one.toSend, {})) {
    if (now < waiting.sendAt) {
      one.toSend.push_back(waiting);
      continue;
    }
    const bool isInForce = one.version % 2 == 0 && one.freshness.Holds(now);
    if (mMistake != customers_model_bug::kCheckedAtReading && !isInForce) {
      ++refused;
      continue;
    }
    Ran(waiting.askedAt);
  }
}

void
customers_model::Ran(clock::time_point aAskedAt)
{
  const auto now = mTime.Now();
  ++ran;
  if (mVersion % 2 == 1 && now > mRevokedAt + kKeyBound) {
    wrong.emplace_back("a request ran with a key that was taken away");
  }
  mRuns.push_back({ aAskedAt, now });
  while (mRuns.front().ranAt < now - kWindow) {
    mRuns.pop_front();
  }
  const auto counted =
    std::count_if(mRuns.begin(), mRuns.end(), [now](const auto& aRun) {
      return aRun.askedAt >= now - kWindow;
    });
  if (static_cast<std::size_t>(counted) > MostInWindow()) {
    wrong.emplace_back("more operations than the quota allows");
  }
}

} // namespace currantshed::test

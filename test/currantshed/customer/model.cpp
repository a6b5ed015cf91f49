#include "test/currantshed/customer/model.hpp"

#include <algorithm>
#include <array>
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
/// The longest time between reading a request and sending it.
constexpr int kMaxQueueTimeMs = 300;
/// How long a request may take in all.
constexpr auto kStatementTimeout = 1200ms;
constexpr unsigned kMaxPauseMs = 2500;
/// A large, a medium and a small customer.
constexpr std::array<customer::quota, 3> kLimits{
  { { 740, 740 }, { 60, 60 }, { 17, 17 } }
};
constexpr double kExcess = 0.1;
constexpr double kTolerance = 20;
constexpr const char* kCustomer = "baker";

std::string
Name(std::size_t aVm)
{
  return std::to_string(aVm);
}

} // namespace

/// A request from its arrival to its last send.
struct customers_model::waiting
{
  clock::time_point askedAt;
  clock::time_point sendAt;
  customer::operation_token token;
  /// Since when it waits for a token.
  clock::time_point tokenSince{};
};

/// One VM: the real decision logic, and the state that the process around it
/// keeps.
struct customers_model::vm
{
  std::uint64_t incarnation = 1;
  clock::time_point startedAt;
  clock::time_point downUntil{};
  clock::time_point frozenUntil{};
  /// Messages that arrived while it was frozen.
  std::vector<std::function<void()>> deferred;
  int side = 0;
  bool isCutFromStore = false;
  std::uint64_t version = 0;
  bool isConfigured = false;
  customer::freshness freshness{ kKeyBound };
  node::freshness_check_schedule checks;
  customer::token_accrual share;
  customer::token_buckets buckets{ kWindow };
  customer::token_cache cache;
  node::token_client tokenClient;
  clock::time_point nextShare{};
  /// Requests without a token, and requests that wait to be sent.
  std::deque<waiting> withoutToken;
  std::vector<waiting> toSend;
};

customers_model::customers_model(std::uint32_t aSeed,
                                 customers_model_bug aBug,
                                 customers_model_faults aFaults)
  : mRandom(aSeed)
  , mBug(aBug)
  , mFaults(aFaults)
  , mLimit(kLimits[aSeed % kLimits.size()])
  , mVms(kVms)
  , mNextChange(mTime.Now() + 4s)
  , mRestartLoopRate(aSeed % 4 == 0 ? 6 : 1)
{
  for (std::size_t i = 0; i < kVms; ++i) {
    Restart(i);
  }
}

customers_model::~customers_model() = default;

customer::quota
customers_model::Limit() const
{
  auto limit = mLimit;
  if (mBug == customers_model_bug::kUnboundedBuckets) {
    limit.burst = 1e6;
  }
  return limit;
}

std::size_t
customers_model::MaxInWindow() const
{
  const double seconds = std::chrono::duration<double>(kWindow).count();
  return static_cast<std::size_t>(
    (mLimit.perSecond * seconds + mLimit.burst) * (1 + kExcess) + kTolerance);
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
  const auto incarnation = one.incarnation + 1;
  const auto side = one.side;
  const auto cut = one.isCutFromStore;
  one = vm{};
  one.incarnation = incarnation;
  one.side = side;
  one.isCutFromStore = cut;
  one.startedAt = mTime.Now() + 400ms;
  one.downUntil = one.startedAt;
  one.checks.SetRank(aVm);
  one.buckets.SetCoordinatorCount(kDomains);
  // The first VMs of each failure domain are quota coordinators.
  const std::vector<std::string> own{ Name(aVm % kDomains),
                                      Name(aVm % kDomains + kDomains) };
  std::vector<std::vector<std::string>> others;
  for (std::size_t i = 0; i < kDomains; ++i) {
    if (i != aVm % kDomains) {
      others.push_back({ Name(i) });
    }
  }
  one.tokenClient.SetCoordinators(own, others);
  if (mBug == customers_model_bug::kBucketsStartFull) {
    // A third of the whole burst.
    one.buckets = customer::token_buckets{ 0ms };
    one.buckets.SetCoordinatorCount(kDomains);
    (void)one.buckets.GrantTokens(kCustomer, mLimit, 0, mTime.Now());
    one.buckets.AddShare("full",
                         incarnation,
                         1us,
                         customer::PartitionOf(kCustomer),
                         customer::share{ 60 },
                         mTime.Now());
  }
}

void
customers_model::Send(std::size_t aFrom,
                      std::size_t aTo,
                      std::function<void()> aWhat)
{
  const auto incarnation = mVms[aTo].incarnation;
  auto arrive = [this, aFrom, aTo, incarnation, what = std::move(aWhat)] {
    auto& to = mVms[aTo];
    if (to.incarnation != incarnation || !Reaches(aFrom, aTo)) {
      return;
    }
    if (mTime.Now() < to.frozenUntil) {
      to.deferred.push_back(what);
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
  while (mTime.Now() < end && violations.size() < 5) {
    mTime.RunUntil(mTime.Now() + kStep);
    Step();
  }
}

void
customers_model::Step()
{
  InjectFaults();
  for (std::size_t i = 0; i < kVms; ++i) {
    ++steps;
    if (!IsUp(i) || mTime.Now() < mVms[i].frozenUntil) {
      continue;
    }
    for (auto& what : std::exchange(mVms[i].deferred, {})) {
      what();
    }
    RunVm(i);
  }
}

void
customers_model::InjectFaults()
{
  const auto now = mTime.Now();
  if (now >= mPausedUntil && Chance(3)) {
    mPausedUntil = now + std::chrono::milliseconds{ mRandom() % kMaxPauseMs };
  }
  if (mFaults == customers_model_faults::kPrimaryPauses) {
    return;
  }
  if (mFaults == customers_model_faults::kUnderLoad) {
    InjectFaultsUnderLoad();
    return;
  }
  if (Chance(4)) {
    mAreAnswersLost = !mAreAnswersLost && Chance(300);
  }
  if (now >= mNextChange) {
    ++mVersion;
    if (mVersion % 2 == 1) {
      mRevokedAt = now;
    }
    mNextChange = now + std::chrono::milliseconds{ 500 + mRandom() % 16000 };
  }
  if (Chance(2)) {
    mIsStoreDown = !mIsStoreDown && Chance(500);
  }
  if (Chance(4)) {
    mIsStoreSlow = !mIsStoreSlow;
  }
  if (Chance(2)) {
    mIsLoadSurge = !mIsLoadSurge;
  }
  if (Chance(3)) {
    mAreClientsImpatient = !mAreClientsImpatient && Chance(300);
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
  if (Chance(mRestartLoopRate)) {
    mRestartLoopUntil = now + 6s;
  }
  if (now < mRestartLoopUntil && now >= mNextLoopRestart) {
    mNextLoopRestart = now + 900ms;
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
customers_model::InjectFaultsUnderLoad()
{
  const auto now = mTime.Now();
  if (Chance(4)) {
    mIsLoadSurge = !mIsLoadSurge;
  }
  if (Chance(4)) {
    mAreAnswersLost = !mAreAnswersLost && Chance(300);
  }
  if (Chance(1)) {
    const auto until = now + std::chrono::milliseconds{ mRandom() % 2000 };
    for (auto& one : mVms) {
      one.frozenUntil = Chance(250) ? until : one.frozenUntil;
    }
  }
  if (Chance(1)) {
    Restart(mRandom() % kVms);
  }
}

void
customers_model::RunVm(std::size_t aVm)
{
  auto& one = mVms[aVm];
  const auto now = mTime.Now();
  one.share.Begin(one.startedAt);
  one.tokenClient.Tick(now);
  CheckStore(aVm);
  SendShare(aVm);
  // In thousandths of a request per step: half of the rate, or three times it.
  auto asked = static_cast<unsigned>(mLimit.perSecond * 10 / kVms) *
               (mIsLoadSurge ? 6U : 1U) / 2;
  for (; asked > 0; asked -= std::min(asked, 1000U)) {
    if (Chance(std::min(asked, 1000U))) {
      ReceiveRequest(aVm);
    }
  }
  DeliverTokenRequests(aVm);
  SendQueued(aVm);
}

// Asks the store whether there is anything newer, and passes the verification
// time on.
void
customers_model::CheckStore(std::size_t aVm)
{
  auto& one = mVms[aVm];
  const auto asked = mTime.Now();
  if (asked < one.checks.NextCheck(one.freshness.VerifiedAt())) {
    return;
  }
  one.checks.OnRequestSent();
  const auto incarnation = one.incarnation;
  mTime.After(StoreDelay(), [this, aVm, asked, incarnation] {
    const bool isLost = mIsStoreDown || mVms[aVm].isCutFromStore ||
                        mVms[aVm].incarnation != incarnation;
    const auto seen = mVersion;
    mTime.After(StoreDelay(), [this, aVm, asked, incarnation, isLost, seen] {
      auto& back = mVms[aVm];
      if (back.incarnation != incarnation) {
        return;
      }
      const auto apply = [this, aVm, asked, isLost, seen] {
        auto& self = mVms[aVm];
        self.checks.OnResponse(!isLost, mTime.Now());
        if (isLost || seen < self.version) {
          return;
        }
        self.version = seen;
        self.isConfigured = true;
        self.freshness.MarkVerified(
          mBug == customers_model_bug::kVerificationDatedByResponse
            ? mTime.Now()
            : asked);
        BroadcastVerification(aVm);
      };
      if (mTime.Now() < back.frozenUntil) {
        back.deferred.push_back(apply);
      } else {
        apply();
      }
    });
  });
}

// Delivers a verification time to the other VMs, which use it if their
// configuration is not newer.
void
customers_model::BroadcastVerification(std::size_t aVm)
{
  const auto version = mVms[aVm].version;
  const auto verifiedAt = mVms[aVm].freshness.VerifiedAt();
  for (std::size_t to = 0; to < kVms; ++to) {
    if (to == aVm) {
      continue;
    }
    Send(aVm, to, [this, to, version, verifiedAt] {
      auto& other = mVms[to];
      if (version < other.version) {
        return;
      }
      other.version = version;
      other.isConfigured = true;
      other.freshness.MarkVerified(
        mBug == customers_model_bug::kForwardedVerificationNotAged
          ? mTime.Now()
          : verifiedAt - 1ms);
    });
  }
}

void
customers_model::SendShare(std::size_t aVm)
{
  auto& one = mVms[aVm];
  const auto now = mTime.Now();
  const auto collector =
    one.tokenClient.CoordinatorOf(customer::PartitionOf(kCustomer), now);
  if (now < one.nextShare || collector.empty()) {
    return;
  }
  one.nextShare = now + kShareInterval;
  const auto to = std::stoul(collector);
  const auto share = one.share.Take(kVms, now);
  const auto incarnation = one.incarnation;
  const auto arrive = [this, aVm, to, share, incarnation, now] {
    if (mTime.Now() - now >= 700ms) {
      return;
    }
    auto sentAt = std::chrono::duration_cast<std::chrono::microseconds>(
      now.time_since_epoch());
    if (mBug == customers_model_bug::kSharesCountTwice) {
      sentAt = std::chrono::microseconds{ static_cast<std::int64_t>(++steps) };
    }
    mVms[to].buckets.AddShare(Name(aVm),
                              incarnation,
                              sentAt,
                              customer::PartitionOf(kCustomer),
                              share,
                              mTime.Now());
  };
  if (to == aVm) {
    arrive();
  } else {
    Send(aVm, to, arrive);
    // Some messages arrive twice, regardless of the simulated network.
    if (mBug == customers_model_bug::kSharesCountTwice) {
      Send(aVm, to, arrive);
    }
  }
}

// A client sends a request. Its key is checked when the request is read.
void
customers_model::ReceiveRequest(std::size_t aVm)
{
  auto& one = mVms[aVm];
  const auto now = mTime.Now();
  const bool isKeyInForce =
    one.isConfigured && one.version % 2 == 0 && one.freshness.Holds(now);
  if (!isKeyInForce) {
    ++refused;
    return;
  }
  waiting request;
  request.askedAt = now;
  request.sendAt =
    now + std::chrono::milliseconds{ mRandom() % kMaxQueueTimeMs };
  request.tokenSince = now;
  request.token.Require();
  if (one.withoutToken.empty()) {
    if (const auto at = one.cache.Take(kCustomer, now)) {
      request.token.Grant(*at);
      one.toSend.push_back(request);
      return;
    }
  }
  one.withoutToken.push_back(request);
  one.tokenClient.Request(kCustomer, 1, now);
}

void
customers_model::DeliverTokenRequests(std::size_t aVm)
{
  auto& one = mVms[aVm];
  const auto now = mTime.Now();
  for (auto& ask : one.tokenClient.TakeRequests()) {
    const auto to = std::stoul(ask.vm);
    if (to == aVm) {
      const auto got =
        one.buckets.GrantTokens(kCustomer, Limit(), ask.count, mTime.Now());
      one.tokenClient.OnResponse(ask.number, got.count, got.retryAfter, now);
      continue;
    }
    const auto incarnation = one.incarnation;
    Send(aVm, to, [this, aVm, to, ask, incarnation] {
      const auto got = mVms[to].buckets.GrantTokens(
        kCustomer, Limit(), ask.count, mTime.Now());
      Send(to, aVm, [this, aVm, ask, got, incarnation] {
        if (mVms[aVm].incarnation == incarnation) {
          mVms[aVm].tokenClient.OnResponse(
            ask.number, got.count, got.retryAfter, mTime.Now());
        }
      });
    });
  }
  ApplyOutcomes(aVm, one.tokenClient.TakeResults());
}

void
customers_model::ApplyOutcomes(std::size_t aVm,
                               const std::vector<node::token_result>& aWhat)
{
  auto& one = mVms[aVm];
  const auto now = mTime.Now();
  for (const auto& outcome : aWhat) {
    one.cache.Put(kCustomer, outcome.granted, outcome.askedAt);
    for (unsigned i = 0; i < outcome.refused && !one.withoutToken.empty();
         ++i) {
      Refuse(one.withoutToken.front());
      one.withoutToken.pop_front();
    }
  }
  // Clients disconnect after a short time.
  const auto clientTimeout = mAreClientsImpatient ? 1ms : 200ms;
  while (!one.withoutToken.empty() &&
         now >= one.withoutToken.front().tokenSince + clientTimeout) {
    Refuse(one.withoutToken.front());
    one.withoutToken.pop_front();
  }
  while (!one.withoutToken.empty()) {
    const auto at = one.cache.Take(kCustomer, now);
    if (!at) {
      break;
    }
    one.withoutToken.front().token.Grant(*at);
    one.toSend.push_back(one.withoutToken.front());
    one.withoutToken.pop_front();
  }
}

void
customers_model::Refuse(waiting aWhat)
{
  ++refused;
  ++refusedForTokens;
  const auto now = mTime.Now();
  if (!mRefusedSince) {
    mRefusedSince = aWhat.tokenSince;
  }
  longestRefusal = std::max(longestRefusal, now - *mRefusedSince);
}

bool
customers_model::MaySend(const waiting& aWhat) const
{
  const bool isFirst = !aWhat.token.IsUsed();
  return aWhat.token.PermitsSend(mTime.Now()) ||
         (mBug == customers_model_bug::kTokenCheckedOnArrival && isFirst) ||
         (mBug == customers_model_bug::kRunAgainWithUsedToken && !isFirst);
}

void
customers_model::SendQueued(std::size_t aVm)
{
  auto& one = mVms[aVm];
  const auto now = mTime.Now();
  for (auto& request : std::exchange(one.toSend, {})) {
    if (now >= request.askedAt + kStatementTimeout) {
      if (const auto at = request.token.TakeUnused()) {
        one.cache.Put(kCustomer, 1, *at);
      }
      continue;
    }
    if (now < request.sendAt || now < mPausedUntil) {
      one.toSend.push_back(request);
      continue;
    }
    const bool isKeyInForce = one.version % 2 == 0 && one.freshness.Holds(now);
    if (mBug != customers_model_bug::kKeyCheckedOnlyAtRead && !isKeyInForce) {
      ++refused;
      continue;
    }
    if (!MaySend(request)) {
      const auto at = one.withoutToken.empty() ? one.cache.Take(kCustomer, now)
                                               : std::nullopt;
      if (!at) {
        request.tokenSince = now;
        one.withoutToken.push_back(request);
        one.tokenClient.Request(kCustomer, 1, now);
        continue;
      }
      request.token.Grant(*at);
    }
    request.token.OnSent();
    RecordRun();
    if (mAreAnswersLost && Chance(500)) {
      request.sendAt = now + std::chrono::milliseconds{ mRandom() % 100 };
      one.toSend.push_back(request);
    }
  }
}

void
customers_model::RecordRun()
{
  const auto now = mTime.Now();
  ++ran;
  mRefusedSince.reset();
  if (mVersion % 2 == 1 && now > mRevokedAt + kKeyBound) {
    violations.emplace_back("a request ran with a key that was revoked");
  }
  mRuns.push_back(now);
  while (mRuns.front() < now - kWindow) {
    mRuns.pop_front();
  }
  mostInWindow = std::max(mostInWindow, mRuns.size());
  if (mRuns.size() > MaxInWindow()) {
    violations.emplace_back("more operations than the quota allows");
  }
}

} // namespace currantshed::test

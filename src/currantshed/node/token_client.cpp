#include "currantshed/node/token_client.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// An answer takes a few milliseconds, on a busy VM some dozen.
constexpr milliseconds kPatience{ 100 };
// How long a collector that said nothing is asked after all others. It may just
// have started, as this VM has.
constexpr milliseconds kSilence{ 400 };
// VMs that are asked for one operation: its time is short.
constexpr std::size_t kMostAsked = 3;
// How long a customer whose tokens are used up everywhere is refused without
// asking again.
constexpr milliseconds kExhausted{ 100 };
// When to come back where nobody could tell; also how long an answer counts.
constexpr milliseconds kUnknownRetry{ 500 };

// The VMs by a hash of their name and the part, the same at every VM.
std::vector<std::string>
InOrder(std::size_t aPart, std::vector<std::string> aVms)
{
  const auto place = [aPart](const std::string& aVm) {
    return XXH3_64bits_withSeed(aVm.data(), aVm.size(), aPart);
  };
  std::sort(
    aVms.begin(), aVms.end(), [&place](const auto& aLeft, const auto& aRight) {
      return place(aLeft) < place(aRight);
    });
  return aVms;
}

} // namespace

void
token_client::SetCoordinators(
  const std::vector<std::string>& aOwn,
  const std::vector<std::vector<std::string>>& aOthers)
{
  for (std::size_t part = 0; part < customer::kPartitions; ++part) {
    mOwn[part] = InOrder(part, aOwn);
    mOthers[part].clear();
    for (const auto& domain : aOthers) {
      const auto theirs = InOrder(part, domain);
      if (!theirs.empty()) {
        mOthers[part].push_back(theirs.front());
      }
    }
  }
  if (IsAlone()) {
    return;
  }
  for (auto& one : std::exchange(mUnasked, {})) {
    const auto since = one.askedAt;
    AskNext(std::move(one), since);
  }
}

bool
token_client::IsSilent(const std::string& aVm, clock::time_point aNow) const
{
  const auto found = mSilentUntil.find(aVm);
  return found != mSilentUntil.end() && aNow < found->second;
}

std::string
token_client::CoordinatorOf(std::size_t aPart, clock::time_point aNow) const
{
  const auto& own = mOwn[aPart];
  const auto& others = mOthers[aPart];
  for (const auto* some : { &own, &others }) {
    for (const auto& vm : *some) {
      if (!IsSilent(vm, aNow)) {
        return vm;
      }
    }
  }
  if (IsAlone()) {
    return {};
  }
  return own.empty() ? others.front() : own.front();
}

// The collector to ask next; empty where there is none left.
std::string
token_client::NextFor(const pending& aWhat, clock::time_point aNow) const
{
  const auto wasAsked = [&aWhat](const std::string& aVm) {
    return std::find(aWhat.asked.begin(), aWhat.asked.end(), aVm) !=
           aWhat.asked.end();
  };
  if (aWhat.asked.size() >= kMostAsked) {
    return {};
  }
  const auto part = customer::PartitionOf(aWhat.customer);
  auto current = CoordinatorOf(part, aNow);
  if (!current.empty() && !wasAsked(current)) {
    return current;
  }
  for (const auto& vm : mOthers[part]) {
    if (!wasAsked(vm) && !IsSilent(vm, aNow)) {
      return vm;
    }
  }
  return {};
}

void
token_client::Request(const std::string& aCustomer,
                      unsigned aCount,
                      clock::time_point aNow)
{
  const auto used = mExhausted.find(aCustomer);
  if (used != mExhausted.end() && aNow < used->second.until) {
    const auto after =
      std::chrono::duration_cast<milliseconds>(used->second.retryAt - aNow);
    mOutcomes.push_back({ aCustomer, 0, aCount, after });
    return;
  }
  pending wanted{ aCustomer, aCount };
  wanted.askedAt = aNow;
  if (IsAlone()) {
    mUnasked.push_back(std::move(wanted));
    return;
  }
  AskNext(std::move(wanted), aNow);
}

// Asks the first collector that was not asked yet, or refuses.
void
token_client::AskNext(pending aWhat, clock::time_point aNow)
{
  if (const auto vm = NextFor(aWhat, aNow); !vm.empty()) {
    aWhat.asked.push_back(vm);
    aWhat.askedAt = aNow;
    const auto number = ++mLastNumber;
    mAsks.push_back({ vm, number, aWhat.customer, aWhat.count });
    mPending.emplace(number, std::move(aWhat));
    return;
  }
  const bool areUsedUp = aWhat.retryAfter.count() > 0;
  const auto after = areUsedUp ? aWhat.retryAfter : kUnknownRetry;
  if (areUsedUp) {
    mExhausted[aWhat.customer] = { aNow + kExhausted, aNow + after };
  }
  mOutcomes.push_back({ aWhat.customer, 0, aWhat.count, after });
}

void
token_client::OnResponse(std::uint64_t aNumber,
                         unsigned aCount,
                         milliseconds aRetryAfter,
                         clock::time_point aNow)
{
  if (const auto late = mLate.find(aNumber); late != mLate.end()) {
    const auto granted = std::min(aCount, late->second.count);
    if (granted > 0) {
      mOutcomes.push_back(
        { late->second.customer, granted, 0, {}, late->second.askedAt });
    }
    mLate.erase(late);
    return;
  }
  const auto found = mPending.find(aNumber);
  if (found == mPending.end()) {
    return;
  }
  auto what = std::move(found->second);
  mPending.erase(found);
  const auto granted = std::min(aCount, what.count);
  if (granted > 0) {
    mExhausted.erase(what.customer);
    mOutcomes.push_back({ what.customer, granted, 0, {}, what.askedAt });
    what.count -= granted;
  }
  if (what.count == 0) {
    return;
  }
  const bool isSooner =
    what.retryAfter.count() == 0 || aRetryAfter < what.retryAfter;
  if (aRetryAfter.count() > 0 && isSooner) {
    what.retryAfter = aRetryAfter;
  }
  AskNext(std::move(what), aNow);
}

void
token_client::Tick(clock::time_point aNow)
{
  std::erase_if(mUnasked, [aNow](const auto& aOne) {
    return aNow >= aOne.askedAt + kUnknownRetry;
  });
  while (!mLate.empty() &&
         aNow >= mLate.begin()->second.askedAt + kUnknownRetry) {
    mLate.erase(mLate.begin());
  }
  while (!mPending.empty() &&
         aNow >= mPending.begin()->second.askedAt + kPatience) {
    auto what = mPending.begin()->second;
    mLate.insert(mPending.extract(mPending.begin()));
    mSilentUntil[what.asked.back()] = aNow + kSilence;
    AskNext(std::move(what), aNow);
  }
}

clock::time_point
token_client::NextTick() const
{
  return mPending.empty() ? clock::time_point::max()
                          : mPending.begin()->second.askedAt + kPatience;
}

std::vector<token_request>
token_client::TakeRequests()
{
  return std::exchange(mAsks, {});
}

std::vector<token_result>
token_client::TakeResults()
{
  return std::exchange(mOutcomes, {});
}

} // namespace currantshed::node

#include "currantshed/node/token_client.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// Response timeout. An answer takes a few milliseconds, and some tens of
// milliseconds on a busy VM.
constexpr milliseconds kResponseTimeout{ 100 };
// How long an unresponsive coordinator is asked only after all others. It may
// just have started, as this VM may have.
constexpr milliseconds kUnresponsiveTime{ 400 };
// Maximum number of coordinators asked for one operation, whose time is short.
constexpr std::size_t kMaxAttempts = 3;
// How long operations of a customer whose tokens are used up at all
// coordinators are refused without another request.
constexpr milliseconds kExhaustedTime{ 100 };
// Retry time if no coordinator could name one; also how long a late answer is
// accepted.
constexpr milliseconds kUnknownRetry{ 500 };

// Sorts the VMs by a hash of their name and the partition. The order is the
// same on every VM.
std::vector<std::string>
SortByHash(std::size_t aPartition, std::vector<std::string> aVms)
{
  const auto place = [aPartition](const std::string& aVm) {
    return XXH3_64bits_withSeed(aVm.data(), aVm.size(), aPartition);
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
  for (std::size_t partition = 0; partition < customer::kPartitions;
       ++partition) {
    mLocal[partition] = SortByHash(partition, aOwn);
    mRemote[partition].clear();
    for (const auto& domain : aOthers) {
      const auto theirs = SortByHash(partition, domain);
      if (!theirs.empty()) {
        mRemote[partition].push_back(theirs.front());
      }
    }
  }
  if (HasNoCoordinators()) {
    return;
  }
  for (auto& one : std::exchange(mQueued, {})) {
    const auto since = one.askedAt;
    RequestNext(std::move(one), since);
  }
}

bool
token_client::IsUnresponsive(const std::string& aVm,
                             clock::time_point aNow) const
{
  const auto found = mUnresponsiveUntil.find(aVm);
  return found != mUnresponsiveUntil.end() && aNow < found->second;
}

std::string
token_client::CoordinatorOf(std::size_t aPartition,
                            clock::time_point aNow) const
{
  const auto& own = mLocal[aPartition];
  const auto& others = mRemote[aPartition];
  for (const auto* some : { &own, &others }) {
    for (const auto& vm : *some) {
      if (!IsUnresponsive(vm, aNow)) {
        return vm;
      }
    }
  }
  if (HasNoCoordinators()) {
    return {};
  }
  return own.empty() ? others.front() : own.front();
}

// The coordinator to ask next; empty if none is left.
std::string
token_client::NextCoordinator(const pending& aRequest,
                              clock::time_point aNow) const
{
  const auto wasAsked = [&aRequest](const std::string& aVm) {
    return std::find(aRequest.asked.begin(), aRequest.asked.end(), aVm) !=
           aRequest.asked.end();
  };
  if (aRequest.asked.size() >= kMaxAttempts) {
    return {};
  }
  const auto partition = customer::PartitionOf(aRequest.customer);
  auto current = CoordinatorOf(partition, aNow);
  if (!current.empty() && !wasAsked(current)) {
    return current;
  }
  for (const auto& vm : mRemote[partition]) {
    if (!wasAsked(vm) && !IsUnresponsive(vm, aNow)) {
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
    mResults.push_back({ aCustomer, 0, aCount, after });
    return;
  }
  pending wanted{ aCustomer, aCount };
  wanted.askedAt = aNow;
  if (HasNoCoordinators()) {
    mQueued.push_back(std::move(wanted));
    return;
  }
  RequestNext(std::move(wanted), aNow);
}

// Asks the first coordinator that was not asked yet, or refuses the operations.
void
token_client::RequestNext(pending aRequest, clock::time_point aNow)
{
  if (const auto vm = NextCoordinator(aRequest, aNow); !vm.empty()) {
    aRequest.asked.push_back(vm);
    aRequest.askedAt = aNow;
    const auto number = ++mLastNumber;
    mRequests.push_back({ vm, number, aRequest.customer, aRequest.count });
    mPending.emplace(number, std::move(aRequest));
    return;
  }
  const bool areUsedUp = aRequest.retryAfter.count() > 0;
  const auto after = areUsedUp ? aRequest.retryAfter : kUnknownRetry;
  if (areUsedUp) {
    mExhausted[aRequest.customer] = { aNow + kExhaustedTime, aNow + after };
  }
  mResults.push_back({ aRequest.customer, 0, aRequest.count, after });
}

void
token_client::OnResponse(std::uint64_t aNumber,
                         unsigned aCount,
                         milliseconds aRetryAfter,
                         clock::time_point aNow)
{
  if (const auto late = mTimedOut.find(aNumber); late != mTimedOut.end()) {
    const auto granted = std::min(aCount, late->second.count);
    if (granted > 0) {
      mResults.push_back(
        { late->second.customer, granted, 0, {}, late->second.askedAt });
    }
    mTimedOut.erase(late);
    return;
  }
  const auto found = mPending.find(aNumber);
  if (found == mPending.end()) {
    return;
  }
  auto request = std::move(found->second);
  mPending.erase(found);
  const auto granted = std::min(aCount, request.count);
  if (granted > 0) {
    mExhausted.erase(request.customer);
    mResults.push_back({ request.customer, granted, 0, {}, request.askedAt });
    request.count -= granted;
  }
  if (request.count == 0) {
    return;
  }
  const bool isSooner =
    request.retryAfter.count() == 0 || aRetryAfter < request.retryAfter;
  if (aRetryAfter.count() > 0 && isSooner) {
    request.retryAfter = aRetryAfter;
  }
  RequestNext(std::move(request), aNow);
}

void
token_client::Tick(clock::time_point aNow)
{
  std::erase_if(mQueued, [aNow](const auto& aOne) {
    return aNow >= aOne.askedAt + kUnknownRetry;
  });
  while (!mTimedOut.empty() &&
         aNow >= mTimedOut.begin()->second.askedAt + kUnknownRetry) {
    mTimedOut.erase(mTimedOut.begin());
  }
  while (!mPending.empty() &&
         aNow >= mPending.begin()->second.askedAt + kResponseTimeout) {
    auto request = mPending.begin()->second;
    mTimedOut.insert(mPending.extract(mPending.begin()));
    mUnresponsiveUntil[request.asked.back()] = aNow + kUnresponsiveTime;
    RequestNext(std::move(request), aNow);
  }
}

clock::time_point
token_client::NextTick() const
{
  return mPending.empty() ? clock::time_point::max()
                          : mPending.begin()->second.askedAt + kResponseTimeout;
}

std::vector<token_request>
token_client::TakeRequests()
{
  return std::exchange(mRequests, {});
}

std::vector<token_result>
token_client::TakeResults()
{
  return std::exchange(mResults, {});
}

} // namespace currantshed::node

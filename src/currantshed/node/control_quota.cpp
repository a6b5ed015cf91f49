// Tokens of customers' quotas: who collects them, and how they come to the VMs
// that need them.
#include "currantshed/node/control.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/clock/now.hpp"
#include "currantshed/log/log.hpp"
#include "currantshed/node/feeders.hpp"

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// Time between two shares where no other message takes them along.
constexpr milliseconds kShareInterval{ 400 };
// The least time between two: what asks for tokens takes a share along, so that
// after a start of all VMs the first operations find some.
constexpr milliseconds kShortestShare{ 50 };
// A share that was under way for longer is lost: what a broken way has held up
// must not come all at once.
constexpr milliseconds kLongestWay{ 700 };

std::vector<std::string>
CollectorsOf(const own_keys& aKeys, const std::string& aFailureDomain)
{
  auto collectors = Feeders(aKeys, aFailureDomain);
  if (!collectors.empty()) {
    return collectors;
  }
  for (const auto& [name, one] : aKeys.vms) {
    if (one.record.failureDomain == aFailureDomain && !one.record.leaving) {
      collectors.push_back(name);
    }
  }
  return collectors;
}

} // namespace

// The own failure domain's collectors, and the first of each other one.
void
control::NoteCollectors()
{
  const auto keys = WithRecorded();
  std::set<std::string> domains;
  for (const auto& one : mOwnKeys.fleet) {
    domains.insert(one.failureDomain);
  }
  for (const auto& [name, one] : keys.vms) {
    domains.insert(one.record.failureDomain);
  }
  mBank.SetBanks(std::max<std::size_t>(domains.size(), 1));
  std::vector<std::string> others;
  for (const auto& domain : domains) {
    const auto theirs = CollectorsOf(keys, domain);
    if (domain != mSelf.failureDomain && !theirs.empty()) {
      others.push_back(theirs.front());
    }
  }
  mTokens.SetCollectors(CollectorsOf(keys, mSelf.failureDomain),
                        std::move(others));
}

// The VMs that are listed and, for a while after the start, those that were:
// VMs that start together find each other's tokens before the list has them.
own_keys
control::WithRecorded() const
{
  auto keys = mOwnKeys;
  if (!mIsSettled) {
    for (const auto& one : mOwnKeys.fleet) {
      keys.vms.try_emplace(one.where.vm, own_keys::listed_vm{ one, 0 });
    }
  }
  return keys;
}

// How many VMs share the customers' rates: those that are recorded count while
// they are away, since they may be back at any time.
std::size_t
control::FleetSize() const
{
  auto vms = mOwnKeys.vms.size();
  for (const auto& one : mOwnKeys.fleet) {
    vms += mOwnKeys.vms.contains(one.where.vm) ? 0 : 1;
  }
  return std::max<std::size_t>(vms, 1);
}

bool
control::KeepsQuotas() const
{
  return mCustomers != nullptr && mOwnView.IsKnown() &&
         (mIsSettled || !mOwnKeys.fleet.empty());
}

// Puts what this VM has earned on a message to its collector.
void
control::FillShare(const std::string& aVm,
                   news::News& aOut,
                   clock::time_point aNow)
{
  const bool isDue = aNow >= mSharedAt + kShortestShare;
  // One that can't tell how old a share is would leave it out.
  if (isDue && KeepsQuotas() && aVm == mTokens.Current(aNow) &&
      mNews.IsReadable(aVm, aNow)) {
    mSharedAt = aNow;
    mNextShare = aNow + 2 * kShareInterval;
    aOut.set_share_s(mShare.Take(FleetSize(), aNow).count());
  }
}

// Hands this VM's share on where no message took it along, to itself if it
// collects.
void
control::KeepQuotas(clock::time_point aNow)
{
  if (!KeepsQuotas()) {
    return;
  }
  mShare.Begin(mStartedAt);
  mTokens.Tick(aNow);
  if (aNow >= mNextShare) {
    mNextShare = aNow + kShareInterval;
    const auto collector = mTokens.Current(aNow);
    if (collector == mSelf.where.vm) {
      mBank.Deposit(mSelf.where.vm,
                    mSelf.incarnation,
                    lead::ToWire(aNow),
                    mShare.Take(FleetSize(), aNow));
    } else if (!collector.empty()) {
      news::News told;
      FillShare(collector, told, aNow);
      mNews.Send(collector, std::move(told), aNow);
    }
  }
  CarryTokens(aNow);
}

void
control::WantTokens(const std::string& aCustomer,
                    unsigned aCount,
                    clock::time_point aNow)
{
  mTokens.Want(aCustomer, aCount, aNow);
  CarryTokens(aNow);
  Schedule();
}

customer::token_grant
control::Withdraw(const std::string& aCustomer, unsigned aCount)
{
  const auto owner =
    mCustomers == nullptr ? nullptr : mCustomers->Named(aCustomer);
  if (owner == nullptr || !owner->limit) {
    return {};
  }
  return mBank.Withdraw(aCustomer, *owner->limit, aCount);
}

// Sends what the desk asks, a message for each VM, and hands its outcomes to
// the traffic. This VM's own answers lead to further ones.
void
control::CarryTokens(clock::time_point aNow)
{
  absl::btree_map<std::string, news::News> told;
  for (auto asks = mTokens.TakeAsks(); !asks.empty();
       asks = mTokens.TakeAsks()) {
    for (auto& ask : asks) {
      if (ask.vm == mSelf.where.vm) {
        const auto got = Withdraw(ask.customer, ask.count);
        mTokens.Answered(ask.number, got.count, got.retryAfter, aNow);
        continue;
      }
      auto& out = *told[ask.vm].add_tokens_wanted();
      out.set_number(ask.number);
      out.set_customer(std::move(ask.customer));
      out.set_count(ask.count);
    }
  }
  for (auto& [vm, news] : told) {
    FillShare(vm, news, aNow);
    mNews.Send(vm, std::move(news), aNow);
  }
  auto outcomes = mTokens.TakeOutcomes();
  if (!outcomes.empty()) {
    mTraffic.TakeTokens(std::move(outcomes));
  }
}

void
control::HeardOfTokens(const news::News& aNews,
                       const news::exchange::clock_reader& aClock,
                       clock::time_point aNow)
{
  if (aNews.share_s() > 0 && aClock &&
      aNow - aClock(aNews.sent_at_us()) < kLongestWay) {
    mBank.Deposit(aNews.vm(),
                  aNews.incarnation(),
                  std::chrono::microseconds{ aNews.sent_at_us() },
                  customer::share{ aNews.share_s() });
  }
  news::News told;
  for (const auto& wanted : aNews.tokens_wanted()) {
    const auto got = Withdraw(wanted.customer(), wanted.count());
    auto& out = *told.add_tokens_granted();
    out.set_number(wanted.number());
    out.set_count(got.count);
    out.set_retry_after_ms(static_cast<std::uint32_t>(got.retryAfter.count()));
  }
  if (told.tokens_granted_size() > 0) {
    mNews.Send(aNews.vm(), std::move(told), aNow);
  }
  for (const auto& granted : aNews.tokens_granted()) {
    mTokens.Answered(granted.number(),
                     granted.count(),
                     milliseconds{ granted.retry_after_ms() },
                     aNow);
  }
  if (aNews.tokens_granted_size() > 0) {
    CarryTokens(aNow);
  }
}

} // namespace currantshed::node

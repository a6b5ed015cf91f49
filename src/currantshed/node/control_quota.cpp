// Tokens of customers' quotas: who collects them, and how they come to the VMs
// that need them.
#include "currantshed/node/control.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/clock/now.hpp"
#include "currantshed/log/log.hpp"
#include "currantshed/node/quota_coordinators.hpp"

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

} // namespace

// The own failure domain's collectors, and those of each other one; nobody asks
// them where no customer is told apart.
void
control::NoteCollectors()
{
  if (mCustomers == nullptr) {
    return;
  }
  const auto keys = WithRecorded();
  std::set<std::string> domains;
  for (const auto& one : mOwnKeys.fleet) {
    domains.insert(one.failureDomain);
  }
  for (const auto& [name, one] : keys.vms) {
    domains.insert(one.record.failureDomain);
  }
  mBank.SetCoordinatorCount(std::max<std::size_t>(domains.size(), 1));
  std::vector<std::vector<std::string>> others;
  for (const auto& domain : domains) {
    if (domain != mSelf.failureDomain) {
      others.push_back(QuotaCoordinators(keys, domain));
    }
  }
  mTokens.SetCoordinators(QuotaCoordinators(keys, mSelf.failureDomain), others);
}

// The VMs that are listed and, for a while after the start, those that were:
// VMs that start together find each other's tokens before the list has them.
cluster_state
control::WithRecorded() const
{
  auto keys = mOwnKeys;
  if (!mIsSettled) {
    for (const auto& one : mOwnKeys.fleet) {
      keys.vms.try_emplace(one.where.vm, cluster_state::stored_vm{ one, {} });
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

// Puts what this VM has earned of the parts that the VM collects on a message
// to it.
void
control::FillShares(const std::string& aVm,
                    news::News& aOut,
                    clock::time_point aNow)
{
  auto& sharedAt = mSharedAt[aVm];
  // One that can't tell how old a share is would leave it out.
  const bool isDue = aNow >= sharedAt + kShortestShare &&
                     (aVm == mSelf.where.vm || mNews.HasClockOffset(aVm, aNow));
  if (!isDue || !KeepsQuotas()) {
    return;
  }
  for (std::size_t part = 0; part < customer::kPartitions; ++part) {
    if (mTokens.CoordinatorOf(part, aNow) == aVm) {
      auto& out = *aOut.add_shares();
      out.set_part(static_cast<std::uint32_t>(part));
      out.set_seconds(mShares[part].Take(FleetSize(), aNow).count());
    }
  }
  if (aOut.shares_size() > 0) {
    sharedAt = aNow;
  }
}

// Hands this VM's shares on where no message took them along, to itself for the
// parts that it collects.
void
control::KeepQuotas(clock::time_point aNow)
{
  // Operations may wait for tokens before this VM can earn any.
  mTokens.Tick(aNow);
  if (KeepsQuotas()) {
    for (auto& share : mShares) {
      share.Begin(mStartedAt);
    }
    if (aNow >= mNextShare) {
      mNextShare = aNow + kShareInterval;
      ShareAll(aNow);
    }
  }
  CarryTokens(aNow);
}

void
control::ShareAll(clock::time_point aNow)
{
  std::set<std::string> collectors;
  for (std::size_t part = 0; part < customer::kPartitions; ++part) {
    collectors.insert(mTokens.CoordinatorOf(part, aNow));
  }
  for (const auto& vm : collectors) {
    const bool isOld = aNow >= mSharedAt[vm] + kShareInterval;
    if (vm.empty() || !isOld) {
      continue;
    }
    news::News told;
    FillShares(vm, told, aNow);
    if (vm == mSelf.where.vm) {
      told.set_incarnation(mSelf.incarnation);
      told.set_vm(vm);
      told.set_sent_at_us(lead::ToWire(aNow).count());
      TakeShares(told);
    } else {
      mNews.Send(vm, std::move(told), aNow);
    }
  }
}

void
control::TakeShares(const news::News& aNews)
{
  for (const auto& one : aNews.shares()) {
    mBank.AddShare(aNews.vm(),
                   aNews.incarnation(),
                   std::chrono::microseconds{ aNews.sent_at_us() },
                   one.part(),
                   customer::share{ one.seconds() });
  }
}

void
control::WantTokens(const std::string& aCustomer,
                    unsigned aCount,
                    clock::time_point aNow)
{
  mTokens.Request(aCustomer, aCount, aNow);
  CarryTokens(aNow);
  Schedule();
}

customer::token_grant
control::GrantTokens(const std::string& aCustomer, unsigned aCount)
{
  const auto owner =
    mCustomers == nullptr ? nullptr : mCustomers->FindByName(aCustomer);
  if (owner == nullptr || !owner->limit) {
    return {};
  }
  return mBank.GrantTokens(aCustomer, *owner->limit, aCount);
}

// Sends what the desk asks, a message for each VM, and hands its outcomes to
// the traffic. This VM's own answers lead to further ones.
void
control::CarryTokens(clock::time_point aNow)
{
  absl::btree_map<std::string, news::News> told;
  for (auto asks = mTokens.TakeRequests(); !asks.empty();
       asks = mTokens.TakeRequests()) {
    for (auto& ask : asks) {
      if (ask.vm == mSelf.where.vm) {
        const auto got = GrantTokens(ask.customer, ask.count);
        mTokens.OnResponse(ask.number, got.count, got.retryAfter, aNow);
        continue;
      }
      auto& out = *told[ask.vm].add_tokens_wanted();
      out.set_number(ask.number);
      out.set_customer(std::move(ask.customer));
      out.set_count(ask.count);
    }
  }
  for (auto& [vm, news] : told) {
    FillShares(vm, news, aNow);
    mNews.Send(vm, std::move(news), aNow);
  }
  auto outcomes = mTokens.TakeResults();
  if (!outcomes.empty()) {
    mTraffic.ApplyTokenResults(std::move(outcomes));
  }
}

void
control::HeardOfTokens(const news::News& aNews,
                       const news::exchange::clock_converter& aClock,
                       clock::time_point aNow)
{
  if (aClock && aNow - aClock(aNews.sent_at_us()) < kLongestWay) {
    TakeShares(aNews);
  }
  news::News told;
  for (const auto& wanted : aNews.tokens_wanted()) {
    const auto got = GrantTokens(wanted.customer(), wanted.count());
    auto& out = *told.add_tokens_granted();
    out.set_number(wanted.number());
    out.set_count(got.count);
    out.set_retry_after_ms(static_cast<std::uint32_t>(got.retryAfter.count()));
  }
  if (told.tokens_granted_size() > 0) {
    mNews.Send(aNews.vm(), std::move(told), aNow);
  }
  for (const auto& granted : aNews.tokens_granted()) {
    mTokens.OnResponse(granted.number(),
                       granted.count(),
                       milliseconds{ granted.retry_after_ms() },
                       aNow);
  }
  if (aNews.tokens_granted_size() > 0) {
    CarryTokens(aNow);
  }
}

} // namespace currantshed::node

// Tokens of customers' quotas: which VMs coordinate them, and how tokens reach
// the VMs that need them.
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

// Interval between two transfers of a share if no other message carries it.
constexpr milliseconds kShareInterval{ 400 };
// Minimum interval between two transfers. A request for tokens carries a share,
// so that after a start of all VMs the first operations find tokens.
constexpr milliseconds kShortestShare{ 50 };
// A share that was in transit for longer is dropped, so that a network fault
// does not deliver accumulated shares all at once.
constexpr milliseconds kLongestWay{ 700 };

} // namespace

// Sets the coordinators of this VM's failure domain and of each other one.
// Without customers no coordinator is used.
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

// The listed VMs and, for a while after the start, the recorded ones: VMs that
// start together find each other's tokens before all are listed.
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

// Number of VMs that share the customers' rates. Recorded VMs count while they
// are absent, because they may return at any time.
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

// Adds this VM's shares of the partitions that the other VM coordinates to a
// message.
void
control::FillShares(const std::string& aVm,
                    news::News& aOut,
                    clock::time_point aNow)
{
  auto& sharedAt = mSharedAt[aVm];
  // A receiver that cannot convert this VM's timestamps cannot tell the share's
  // age and would drop it.
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

// Transfers this VM's shares that no other message has carried, to itself for
// the partitions that it coordinates.
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

// Sends the token client's requests, one message per VM, and passes its results
// to the traffic thread. Responses by this VM itself may lead to further
// requests.
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

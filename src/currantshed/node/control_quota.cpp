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
constexpr milliseconds kMinShareInterval{ 50 };
// A share that was in transit for longer is dropped, so that a network fault
// does not deliver accumulated shares all at once.
constexpr milliseconds kMaxTransitTime{ 700 };

} // namespace

// Sets the coordinators of this VM's failure domain and of each other one.
// Without customers no coordinator is used.
void
control::UpdateCoordinators()
{
  if (mCustomers == nullptr) {
    return;
  }
  const auto state = StateWithRecordedVms();
  std::set<std::string> domains;
  for (const auto& one : mClusterState.fleet) {
    domains.insert(one.failureDomain);
  }
  for (const auto& [name, one] : state.vms) {
    domains.insert(one.record.failureDomain);
  }
  mTokenBuckets.SetCoordinatorCount(std::max<std::size_t>(domains.size(), 1));
  std::vector<std::vector<std::string>> others;
  for (const auto& domain : domains) {
    if (domain != mSelf.failureDomain) {
      others.push_back(QuotaCoordinators(state, domain));
    }
  }
  mTokenClient.SetCoordinators(QuotaCoordinators(state, mSelf.failureDomain),
                               others);
}

// The listed VMs and, for a while after the start, the recorded ones: VMs that
// start together find each other's tokens before all are listed.
cluster_state
control::StateWithRecordedVms() const
{
  auto state = mClusterState;
  if (!mIsSettled) {
    for (const auto& one : mClusterState.fleet) {
      state.vms.try_emplace(one.where.vm, cluster_state::stored_vm{ one, {} });
    }
  }
  return state;
}

// Number of VMs that share the customers' rates. Recorded VMs count while they
// are absent, because they may return at any time.
std::size_t
control::FleetSize() const
{
  auto vms = mClusterState.vms.size();
  for (const auto& one : mClusterState.fleet) {
    vms += mClusterState.vms.contains(one.where.vm) ? 0 : 1;
  }
  return std::max<std::size_t>(vms, 1);
}

bool
control::EnforcesQuotas() const
{
  return mCustomers != nullptr && mClusterView.IsKnown() &&
         (mIsSettled || !mClusterState.fleet.empty());
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
  const bool isDue =
    aNow >= sharedAt + kMinShareInterval &&
    (aVm == mSelf.where.vm || mExchange.HasClockOffset(aVm, aNow));
  if (!isDue || !EnforcesQuotas()) {
    return;
  }
  for (std::size_t partition = 0; partition < customer::kPartitions;
       ++partition) {
    if (mTokenClient.CoordinatorOf(partition, aNow) == aVm) {
      auto& out = *aOut.add_shares();
      out.set_part(static_cast<std::uint32_t>(partition));
      out.set_seconds(mShares[partition].Take(FleetSize(), aNow).count());
    }
  }
  if (aOut.shares_size() > 0) {
    sharedAt = aNow;
  }
}

// Transfers this VM's shares that no other message has carried, to itself for
// the partitions that it coordinates.
void
control::TickQuotas(clock::time_point aNow)
{
  // Operations may wait for tokens before this VM can earn any.
  mTokenClient.Tick(aNow);
  if (EnforcesQuotas()) {
    for (auto& share : mShares) {
      share.Begin(mStartedAt);
    }
    if (aNow >= mNextShare) {
      mNextShare = aNow + kShareInterval;
      SendShares(aNow);
    }
  }
  ExchangeTokens(aNow);
}

void
control::SendShares(clock::time_point aNow)
{
  std::set<std::string> coordinators;
  for (std::size_t partition = 0; partition < customer::kPartitions;
       ++partition) {
    coordinators.insert(mTokenClient.CoordinatorOf(partition, aNow));
  }
  for (const auto& vm : coordinators) {
    const bool isOld = aNow >= mSharedAt[vm] + kShareInterval;
    if (vm.empty() || !isOld) {
      continue;
    }
    news::News message;
    FillShares(vm, message, aNow);
    if (vm == mSelf.where.vm) {
      message.set_incarnation(mSelf.incarnation);
      message.set_vm(vm);
      message.set_sent_at_us(lead::ToWire(aNow).count());
      ApplyShares(message, aNow);
    } else {
      mExchange.Send(vm, std::move(message), aNow);
    }
  }
}

void
control::ApplyShares(const news::News& aMessage, clock::time_point aNow)
{
  // The fleet may have been recorded without VMs that are cut off from the
  // store. The others then share the whole rate, and those still take a share.
  if (!mClusterState.IsMember(aMessage.vm())) {
    return;
  }
  for (const auto& one : aMessage.shares()) {
    mTokenBuckets.AddShare(aMessage.vm(),
                           aMessage.incarnation(),
                           std::chrono::microseconds{ aMessage.sent_at_us() },
                           one.part(),
                           customer::share{ one.seconds() },
                           aNow);
  }
}

void
control::RequestTokens(const std::string& aCustomer,
                       unsigned aCount,
                       clock::time_point aNow)
{
  mTokenClient.Request(aCustomer, aCount, aNow);
  ExchangeTokens(aNow);
  Schedule();
}

customer::token_grant
control::GrantTokens(const std::string& aCustomer,
                     unsigned aCount,
                     clock::time_point aNow)
{
  const auto owner =
    mCustomers == nullptr ? nullptr : mCustomers->FindByName(aCustomer);
  if (owner == nullptr || !owner->limit) {
    return {};
  }
  return mTokenBuckets.GrantTokens(aCustomer, *owner->limit, aCount, aNow);
}

// Sends the token client's requests, one message per VM, and passes its results
// to the traffic thread. Responses by this VM itself may lead to further
// requests.
void
control::ExchangeTokens(clock::time_point aNow)
{
  absl::btree_map<std::string, news::News> messages;
  for (auto requests = mTokenClient.TakeRequests(); !requests.empty();
       requests = mTokenClient.TakeRequests()) {
    for (auto& ask : requests) {
      if (ask.vm == mSelf.where.vm) {
        const auto got = GrantTokens(ask.customer, ask.count, aNow);
        mTokenClient.OnResponse(ask.number, got.count, got.retryAfter, aNow);
        continue;
      }
      auto& out = *messages[ask.vm].add_tokens_wanted();
      out.set_number(ask.number);
      out.set_customer(std::move(ask.customer));
      out.set_count(ask.count);
    }
  }
  for (auto& [vm, news] : messages) {
    FillShares(vm, news, aNow);
    mExchange.Send(vm, std::move(news), aNow);
  }
  auto results = mTokenClient.TakeResults();
  if (!results.empty()) {
    mTraffic.ApplyTokenResults(std::move(results));
  }
}

void
control::HandleTokenMessages(const news::News& aMessage,
                             const news::exchange::clock_converter& aClock,
                             clock::time_point aNow)
{
  if (aClock && aNow - aClock(aMessage.sent_at_us()) < kMaxTransitTime) {
    ApplyShares(aMessage, aNow);
  }
  news::News message;
  for (const auto& wanted : aMessage.tokens_wanted()) {
    const auto got = GrantTokens(wanted.customer(), wanted.count(), aNow);
    auto& out = *message.add_tokens_granted();
    out.set_number(wanted.number());
    out.set_count(got.count);
    out.set_retry_after_ms(static_cast<std::uint32_t>(got.retryAfter.count()));
  }
  if (message.tokens_granted_size() > 0) {
    mExchange.Send(aMessage.vm(), std::move(message), aNow);
  }
  for (const auto& granted : aMessage.tokens_granted()) {
    mTokenClient.OnResponse(granted.number(),
                            granted.count(),
                            milliseconds{ granted.retry_after_ms() },
                            aNow);
  }
  if (aMessage.tokens_granted_size() > 0) {
    ExchangeTokens(aNow);
  }
}

} // namespace currantshed::node

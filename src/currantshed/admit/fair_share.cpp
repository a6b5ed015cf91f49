#include "currantshed/admit/fair_share.hpp"

#include <algorithm>

namespace currantshed::admit {

namespace {

using seconds = std::chrono::duration<double>;

// Expected server time of a request until one was measured.
constexpr seconds kDefaultCost{ 0.010 };
// Server time of one round: a few short requests, so that their deadlines still
// order them.
constexpr seconds kQuantum{ 0.050 };
// Weight of the newest measurement in the mean.
constexpr double kNewestWeight = 0.05;

} // namespace

fair_share::fair_share()
  : mMeanCost(kDefaultCost)
{
}

fair_charge
fair_share::Arrived(const std::string& aCustomer)
{
  auto& flow = mFlows[aCustomer];
  if (flow.open == 0) {
    mIdle.erase({ flow.finish, aCustomer });
  }
  ++flow.open;
  ++mOpen;
  const fair_charge charge{ std::max(mVirtualTime, flow.finish), mMeanCost };
  flow.finish = charge.start + charge.cost;
  return charge;
}

void
fair_share::Dispatched(const fair_charge& aCharge)
{
  mVirtualTime = std::max(mVirtualTime, aCharge.start);
  DropIdle();
}

void
fair_share::Finished(const std::string& aCustomer,
                     const fair_charge& aCharge,
                     seconds aUsed)
{
  const auto found = mFlows.find(aCustomer);
  if (found == mFlows.end()) {
    return;
  }
  if (aUsed > seconds::zero()) {
    mMeanCost =
      mIsMeasured ? mMeanCost + kNewestWeight * (aUsed - mMeanCost) : aUsed;
    mIsMeasured = true;
  }
  auto& flow = found->second;
  flow.finish += aUsed - aCharge.cost;
  if (--flow.open == 0) {
    mIdle.insert({ flow.finish, aCustomer });
  }
  // The busy period has ended: nobody is ahead of anybody.
  if (--mOpen == 0) {
    mFlows.clear();
    mIdle.clear();
    mVirtualTime = seconds::zero();
    return;
  }
  DropIdle();
}

std::uint64_t
fair_share::Round(const fair_charge& aCharge)
{
  return static_cast<std::uint64_t>(aCharge.start / kQuantum);
}

std::size_t
fair_share::Customers() const noexcept
{
  return mFlows.size();
}

// A customer whose finish tag has been passed starts at the virtual time, as
// one that is not stored.
void
fair_share::DropIdle()
{
  while (!mIdle.empty() && mIdle.begin()->first <= mVirtualTime) {
    mFlows.erase(mIdle.begin()->second);
    mIdle.erase(mIdle.begin());
  }
}

fair_ticket::fair_ticket(std::shared_ptr<fair_share> aShare,
                         std::string aCustomer)
  : mShare(std::move(aShare))
  , mCustomer(std::move(aCustomer))
  , mCharge(mShare->Arrived(mCustomer))
{
}

fair_ticket::~fair_ticket()
{
  Settle();
}

fair_ticket&
fair_ticket::operator=(fair_ticket&& aOther) noexcept
{
  if (this != &aOther) {
    Settle();
    mShare = std::move(aOther.mShare);
    mCustomer = std::move(aOther.mCustomer);
    mCharge = aOther.mCharge;
    mUsed = aOther.mUsed;
  }
  return *this;
}

void
fair_ticket::Dispatched()
{
  mShare->Dispatched(mCharge);
}

void
fair_ticket::Use(seconds aTime)
{
  mUsed += aTime;
}

std::uint64_t
fair_ticket::Round() const
{
  return fair_share::Round(mCharge);
}

void
fair_ticket::Settle() noexcept
{
  if (mShare != nullptr) {
    mShare->Finished(mCustomer, mCharge, mUsed);
  }
}

} // namespace currantshed::admit

// Age of the configuration: which VMs check with the store that it is still the
// newest, and how they disseminate the result.
#include "currantshed/node/control.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

#include "currantshed/log/log.hpp"

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// A VM whose last verification is older than this asks other VMs for one,
// whether or not the store answers.
constexpr milliseconds kMaxVerificationAge{ 2000 };
// Interval between attempts to end the sessions of a VM that is cut off.
constexpr milliseconds kSessionEndInterval{ 500 };

} // namespace

// Ranks the VMs for freshness checks: forwarders come first, ordered by name.
// All others have late turns and rarely make a check.
void
control::SetCheckRank()
{
  std::vector<std::string> order(mAllForwarders.begin(), mAllForwarders.end());
  if (order.empty()) {
    std::transform(mClusterState.vms.begin(),
                   mClusterState.vms.end(),
                   std::back_inserter(order),
                   [](const auto& aEntry) { return aEntry.first; });
  }
  std::sort(order.begin(), order.end());
  const auto self = std::find(order.begin(), order.end(), mSelf.where.vm);
  mCheckSchedule.SetRank(static_cast<std::size_t>(self - order.begin()));
  mCheckers = std::move(order);
}

// A verification applies only once the configuration that it covers is in
// force.
void
control::ApplyVerification(clock::time_point aNow)
{
  const auto verifiedAt = mConfigurationView.VerifiedAt();
  if (mConfigurationRevision != mConfigurationView.Changed() ||
      verifiedAt <= mFreshness.VerifiedAt()) {
    return;
  }
  const bool held = mFreshness.Holds(aNow);
  mFreshness.MarkVerified(verifiedAt);
  mTraffic.SetFreshness(mFreshness);
  if (!held && mFreshness.Holds(aNow)) {
    LogFreshness(true, aNow);
  }
}

void
control::LogFreshness(bool aHolds, clock::time_point aNow)
{
  mWasFresh = aHolds;
  const auto age = mFreshness.VerifiedAt() == clock::time_point{}
                     ? log::value(log::unknown{})
                     : log::value(static_cast<std::int64_t>(
                         std::chrono::duration_cast<milliseconds>(
                           aNow - mFreshness.VerifiedAt())
                           .count()));
  log::Write(aHolds ? log::level::kInfo : log::level::kWarning,
             aHolds ? "keys_proved" : "keys_unproved",
             { { "version", static_cast<std::int64_t>(mVersion) },
               { "proof_age_ms", age } });
}

// Whether the configuration's freshness cannot be verified and no other VM that
// might know it is reachable. Callers are then better served by other VMs.
bool
control::IsCutOff(clock::time_point aNow) const
{
  return mFreshness.IsBounded() && mVersion != 0 && !mFreshness.Holds(aNow) &&
         mMembership.RecentlyHeard(aNow).empty();
}

void
control::TickFreshness(clock::time_point aNow)
{
  if (!mFreshness.IsBounded() || !mConfigurationView.IsKnown()) {
    return;
  }
  ApplyVerification(aNow);
  if (mWasFresh && !mFreshness.Holds(aNow)) {
    LogFreshness(false, aNow);
  }
  if (IsCutOff(aNow) && aNow >= mNextSessionEnd) {
    mNextSessionEnd = aNow + kSessionEndInterval;
    mTraffic.CloseIdleCustomerSessions();
  }
  const auto verifiedAt = mConfigurationView.VerifiedAt();
  if (mRegistration.IsFailing() ||
      aNow < mCheckSchedule.NextCheck(verifiedAt)) {
    return;
  }
  mCheckSchedule.OnRequestSent();
  mConfigurationView.Check(aNow,
                           [this](bool aIsVerified, clock::time_point aAt) {
                             mCheckSchedule.OnResponse(aIsVerified, aAt);
                             if (aIsVerified) {
                               SendVerification(aAt);
                             }
                             Tick();
                           });
}

// Sends the verification to the other VMs that would make the check.
void
control::SendVerification(clock::time_point aNow)
{
  news::News message;
  FillRevisions(message);
  auto& out = *message.add_updates();
  out.set_prefix(internal::kConfigurationPrefix);
  out.set_after(mConfigurationView.Changed().number);
  out.set_up_to(mConfigurationView.Seen().number);
  out.set_era(mConfigurationView.Seen().era);
  out.set_proved_at_us(lead::ToWire(mConfigurationView.VerifiedAt()).count());
  for (const auto& vm : mCheckers) {
    if (vm != mSelf.where.vm) {
      mExchange.Send(vm, message, aNow);
    }
  }
}

bool
control::LacksVerification(clock::time_point aNow) const
{
  return mFreshness.IsBounded() &&
         aNow >= mFreshness.VerifiedAt() + kMaxVerificationAge;
}

// Returns when the next freshness check is due.
clock::time_point
control::NextFreshnessCheck() const
{
  if (!mFreshness.IsBounded() || !mConfigurationView.IsKnown()) {
    return clock::time_point::max();
  }
  return mRegistration.IsFailing()
           ? clock::time_point::max()
           : mCheckSchedule.NextCheck(mConfigurationView.VerifiedAt());
}

} // namespace currantshed::node

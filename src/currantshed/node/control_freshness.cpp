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
constexpr milliseconds kAskOthers{ 2000 };
// Interval between attempts to end the sessions of a VM that is cut off.
constexpr milliseconds kEndPause{ 500 };

} // namespace

// Ranks the VMs for freshness checks: forwarders come first, ordered by name.
// All others have late turns and rarely make a check.
void
control::SetCheckPlace()
{
  std::vector<std::string> order(mAllForwarders.begin(), mAllForwarders.end());
  if (order.empty()) {
    std::transform(mOwnKeys.vms.begin(),
                   mOwnKeys.vms.end(),
                   std::back_inserter(order),
                   [](const auto& aEntry) { return aEntry.first; });
  }
  std::sort(order.begin(), order.end());
  const auto self = std::find(order.begin(), order.end(), mSelf.where.vm);
  mChecks.SetRank(static_cast<std::size_t>(self - order.begin()));
  mCheckers = std::move(order);
}

// A verification applies only once the configuration that it covers is in
// force.
void
control::NoteProof(clock::time_point aNow)
{
  const auto provedAt = mConfigurationView.VerifiedAt();
  if (mInForce != mConfigurationView.Changed() ||
      provedAt <= mFreshness.VerifiedAt()) {
    return;
  }
  const bool held = mFreshness.Holds(aNow);
  mFreshness.MarkVerified(provedAt);
  mTraffic.SetFreshness(mFreshness);
  if (!held && mFreshness.Holds(aNow)) {
    NoteFreshness(true, aNow);
  }
}

void
control::NoteFreshness(bool aHolds, clock::time_point aNow)
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
         mKnownVms.RecentlyHeard(aNow).empty();
}

void
control::KeepFresh(clock::time_point aNow)
{
  if (!mFreshness.IsBounded() || !mConfigurationView.IsKnown()) {
    return;
  }
  NoteProof(aNow);
  if (mWasFresh && !mFreshness.Holds(aNow)) {
    NoteFreshness(false, aNow);
  }
  if (IsCutOff(aNow) && aNow >= mNextEnd) {
    mNextEnd = aNow + kEndPause;
    mTraffic.CloseIdleCustomerSessions();
  }
  const auto provedAt = mConfigurationView.VerifiedAt();
  if (mRegistration.IsFailing() || aNow < mChecks.NextCheck(provedAt)) {
    return;
  }
  mChecks.OnRequestSent();
  mConfigurationView.Check(aNow, [this](bool aIsProof, clock::time_point aAt) {
    mChecks.OnResponse(aIsProof, aAt);
    if (aIsProof) {
      SpreadProof(aAt);
    }
    Tick();
  });
}

// Sends the verification to the other VMs that would make the check.
void
control::SpreadProof(clock::time_point aNow)
{
  news::News told;
  FillChanges(told);
  auto& out = *told.add_updates();
  out.set_prefix(internal::kConfigurationPrefix);
  out.set_after(mConfigurationView.Changed().number);
  out.set_up_to(mConfigurationView.Seen().number);
  out.set_era(mConfigurationView.Seen().era);
  out.set_proved_at_us(lead::ToWire(mConfigurationView.VerifiedAt()).count());
  for (const auto& vm : mCheckers) {
    if (vm != mSelf.where.vm) {
      mNews.Send(vm, told, aNow);
    }
  }
}

bool
control::LacksProof(clock::time_point aNow) const
{
  return mFreshness.IsBounded() && aNow >= mFreshness.VerifiedAt() + kAskOthers;
}

// Returns when the next freshness check is due.
clock::time_point
control::NextFreshness() const
{
  if (!mFreshness.IsBounded() || !mConfigurationView.IsKnown()) {
    return clock::time_point::max();
  }
  return mRegistration.IsFailing()
           ? clock::time_point::max()
           : mChecks.NextCheck(mConfigurationView.VerifiedAt());
}

} // namespace currantshed::node

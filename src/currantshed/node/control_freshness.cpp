// How old the configuration may be: who asks the store for proof that nothing
// newer stands there, and how the proof spreads.
#include "currantshed/node/control.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

#include "currantshed/log/log.hpp"

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// A VM without a proof that is this young asks other VMs for one, whether the
// store answers it or not.
constexpr milliseconds kAskOthers{ 2000 };
// Time between two tries to end the sessions of a VM that is cut off.
constexpr milliseconds kEndPause{ 500 };

} // namespace

// The place among those that ask: the VMs that follow the store come first, by
// name; all others ask late, and rarely need to.
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

// A proof counts once the configuration that it covers is in force.
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

// Whether keys can't be told to be in force, and no other VM speaks that might
// know: callers are better served elsewhere.
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

// Tells the other VMs that would ask.
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

// When there is something to do about it.
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

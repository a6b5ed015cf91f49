#include "currantshed/ctl/apply_attempt.hpp"

#include <utility>

namespace currantshed::ctl {

apply_attempt::apply_attempt(policy::configuration_record aRecord,
                             platform::index aExpected)
  : mRecord(std::move(aRecord))
  , mExpected(aExpected)
{
}

apply_step
apply_attempt::Next() const noexcept
{
  return mStep;
}

void
apply_attempt::SwapEnded(platform::swap_outcome aOutcome)
{
  switch (aOutcome) {
    case platform::swap_outcome::kApplied:
      Finish(apply_end::kApplied);
      return;
    case platform::swap_outcome::kConflict:
      mStep = apply_step::kRead;
      return;
    case platform::swap_outcome::kUnknown:
      mIsInDoubt = true;
      mStep = apply_step::kRead;
      return;
  }
}

void
apply_attempt::ReadEnded(std::error_code aError, const platform::entry& aEntry)
{
  if (aError) {
    return;
  }
  if (aEntry.version == mExpected) {
    // Not made yet. A write on its way may still be, so this one is only
    // brought forward.
    mStep = apply_step::kSwap;
    return;
  }
  const auto found = policy::ParseConfigurationRecord(aEntry.value);
  if (!found) {
    Finish(mIsInDoubt ? apply_end::kNotKnown : apply_end::kLostRace);
    return;
  }
  Judge(*found);
}

void
apply_attempt::Judge(const policy::configuration_record& aFound)
{
  mFound = aFound.version;
  if (aFound.change == mRecord.change) {
    Finish(apply_end::kApplied);
    return;
  }
  // Versions go up by one with each change, so another change of the very
  // version leaves no place for this one. A higher version may have come
  // after this one.
  const bool isInItsPlace = aFound.version == mRecord.version;
  Finish(isInItsPlace || !mIsInDoubt ? apply_end::kLostRace
                                     : apply_end::kNotKnown);
}

void
apply_attempt::GiveUp()
{
  if (mStep == apply_step::kDone) {
    return;
  }
  // Without a doubt the only write was refused.
  const bool isRefused = !mIsInDoubt && mStep == apply_step::kRead;
  Finish(isRefused ? apply_end::kLostRace : apply_end::kNotKnown);
}

apply_end
apply_attempt::End() const noexcept
{
  return mEnd;
}

std::uint64_t
apply_attempt::Found() const noexcept
{
  return mFound;
}

void
apply_attempt::Finish(apply_end aEnd)
{
  mStep = apply_step::kDone;
  mEnd = aEnd;
}

} // namespace currantshed::ctl

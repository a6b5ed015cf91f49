#include "currantshed/store/apply.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::store {

namespace {

/// Delay before a retry, so that a failing platform is not overloaded.
constexpr std::chrono::milliseconds kRetryDelay{ 200 };

} // namespace

applier::applier(apply_request aRequest, clock::time_point aNow)
  : mRequest(std::move(aRequest))
  , mGiveUpAt(aNow + mRequest.giveUpAfter)
  , mInDoubt(mRequest.askedBefore)
{
  Read();
}

void
applier::ConfigurationRead(std::error_code aError,
                           const entry& aEntry,
                           clock::time_point aNow)
{
  if (mResult) {
    return;
  }
  if (aError) {
    mReadAt = aNow + kRetryDelay;
    return;
  }
  if (aEntry.version == 0) {
    Evaluate(policy::configuration_record{}, 0);
    return;
  }
  const auto found = policy::ParseConfigurationRecord(aEntry.value);
  if (!found) {
    Finish(mInDoubt ? apply_outcome::kUnknown : apply_outcome::kUnreadable);
    return;
  }
  Evaluate(*found, aEntry.version);
}

void
applier::ConfigurationSwapped(swap_outcome aOutcome, clock::time_point aNow)
{
  if (mResult) {
    return;
  }
  mWriting = false;
  switch (aOutcome) {
    case swap_outcome::kApplied:
      mInForce = NextVersion();
      Finish(apply_outcome::kApplied);
      return;
    case swap_outcome::kConflict:
      Read();
      return;
    case swap_outcome::kUnknown:
      mInDoubt = true;
      mReadAt = aNow + kRetryDelay;
      return;
  }
}

void
applier::Tick(clock::time_point aNow)
{
  if (mResult) {
    return;
  }
  if (aNow >= mGiveUpAt) {
    const bool mayBeApplied = mInDoubt || mWriting;
    Finish(mayBeApplied ? apply_outcome::kUnknown : apply_outcome::kNotReached);
    return;
  }
  if (mReadAt && aNow >= *mReadAt) {
    Read();
  }
}

clock::time_point
applier::NextTick() const noexcept
{
  return mReadAt ? std::min(*mReadAt, mGiveUpAt) : mGiveUpAt;
}

std::vector<apply_action>
applier::TakeActions()
{
  return std::exchange(mActions, {});
}

const std::optional<apply_result>&
applier::Result() const noexcept
{
  return mResult;
}

std::uint64_t
applier::NextVersion() const noexcept
{
  return mRequest.expectedVersion + 1;
}

void
applier::Evaluate(const policy::configuration_record& aFound, index aKeyVersion)
{
  mInForce = aFound.version;
  if (aFound.version == mRequest.expectedVersion) {
    Write(aFound, aKeyVersion);
    return;
  }
  if (aFound.version > mRequest.expectedVersion) {
    EvaluateNewer(aFound);
    return;
  }
  // The store holds an older version than the operator saw. A write in progress
  // expects a version of the key that will not occur again.
  Finish(mInDoubt ? apply_outcome::kUnknown : apply_outcome::kLostRace);
}

void
applier::EvaluateNewer(const policy::configuration_record& aFound)
{
  using policy::change_status;
  switch (policy::FindChange(aFound, mRequest.change, NextVersion())) {
    case change_status::kIncluded:
      Finish(apply_outcome::kApplied);
      return;
    case change_status::kNotIncluded:
      Finish(apply_outcome::kLostRace);
      return;
    case change_status::kTooOld:
      Finish(mInDoubt ? apply_outcome::kUnknown : apply_outcome::kLostRace);
      return;
  }
}

void
applier::Write(const policy::configuration_record& aPrevious, index aKeyVersion)
{
  auto record = policy::NextConfigurationRecord(
    aPrevious, mRequest.change, mRequest.declaration);
  record.appliedBy = mRequest.appliedBy;
  record.appliedAt = mRequest.appliedAt;
  auto value = policy::PrintConfigurationRecord(record);
  if (value.size() > kMaxValueBytes) {
    Finish(apply_outcome::kTooLarge);
    return;
  }
  mWriting = true;
  mActions.emplace_back(swap_configuration{ std::move(value), aKeyVersion });
}

void
applier::Read()
{
  mReadAt.reset();
  mActions.emplace_back(read_configuration{});
}

void
applier::Finish(apply_outcome aOutcome)
{
  mActions.clear();
  mReadAt.reset();
  mResult = apply_result{ aOutcome, NextVersion(), mInForce };
}

} // namespace currantshed::store

#include "currantshed/failover/term_reservations.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace currantshed::failover {

namespace {

using std::chrono::milliseconds;

// Time after which a response of the store counts as lost; the change is then
// read back.
constexpr milliseconds kStoreTimeout{ 3000 };
constexpr milliseconds kInitialBackoff{ 100 };
constexpr milliseconds kMaxBackoff{ 5000 };
// Maximum backoff while a promoter waits for a term.
constexpr milliseconds kMaxUrgentBackoff{ 400 };
// An owner without any term accesses the store within kFirstSpan, after the
// owners of lower ranks.
constexpr milliseconds kFirstSpan{ 300 };
constexpr milliseconds kRankSpan{ 400 };
// Delay after a conflict, which shows that the store is up.
constexpr milliseconds kConflictPause{ 40 };
// Reserved terms are replenished at a time within this span, so that many
// groups that fail over together do not access the store at once.
constexpr milliseconds kTopUpSpan{ 2000 };
constexpr unsigned kMaxDoublings = 6;
// Number of consecutive conflicts that are retried at once.
constexpr unsigned kQuickRetries = 4;

// Identifies a change by its author, the version that it is based on and its
// content: a later object of the same incarnation never takes another change
// for its own.
std::string
ChangeId(const incarnation_id& aIncarnation,
         const term_record& aChanged,
         store::index aVersion)
{
  const auto text = SerializeRecord(aChanged);
  return absl::StrCat(aIncarnation,
                      "-",
                      aVersion,
                      "-",
                      absl::Hex(XXH3_64bits(text.data(), text.size())));
}

} // namespace

term_reservations::term_reservations(const coordinator_settings& aSettings)
  : mVm(aSettings.vm)
  , mIncarnation(aSettings.incarnation)
  , mReserve(aSettings.reserve)
  , mRank(aSettings.rank)
{
}

void
term_reservations::SetGroup(const group::group_name& aGroup)
{
  mGroup = aGroup;
}

void
term_reservations::ObserveTerm(position::term_id aTerm)
{
  mHighestSeen = std::max(mHighestSeen, aTerm);
}

std::optional<position::term_id>
term_reservations::LowestUsable() const
{
  std::optional<position::term_id> lowest;
  for (const auto term : mReserved) {
    if (term > mHighestSeen && (!lowest || term < *lowest)) {
      lowest = term;
    }
  }
  return lowest;
}

void
term_reservations::MarkUsed(position::term_id aTerm)
{
  mReserved.erase(std::remove(mReserved.begin(), mReserved.end(), aTerm),
                  mReserved.end());
}

void
term_reservations::SetUrgent(bool aUrgent)
{
  if (aUrgent && !mUrgent) {
    mIsScheduled = true;
    mNotBefore = {};
  }
  mUrgent = aUrgent;
}

void
term_reservations::Publish(const primary_ref& aPrimary,
                           clock::time_point aNotBefore)
{
  if (mUnpublished && mUnpublished->term > aPrimary.term) {
    return;
  }
  if (mUnpublished && mUnpublished->term == aPrimary.term) {
    mPublishFrom = std::min(mPublishFrom, aNotBefore);
    return;
  }
  mUnpublished = aPrimary;
  mPublishFrom = aNotBefore;
}

void
term_reservations::RecordRead(bool aReached,
                              const store::entry& aEntry,
                              clock::time_point aNow)
{
  if (mState != state::kReading) {
    return;
  }
  mState = state::kIdle;
  term_record record;
  // A record that cannot be parsed is never overwritten.
  if (!aReached || ParseRecord(aEntry.value, record)) {
    Retry(aNow);
    return;
  }
  ApplyRecord(record);
  if (ResolvePending(aEntry, record)) {
    return;
  }
  if (!WantsTerms() && !WantsPublication(aNow)) {
    mFailures = 0;
    mIsScheduled = false;
    return;
  }
  PrepareChange(record, aEntry.version, aNow);
}

void
term_reservations::RecordSwapped(store::swap_outcome aOutcome,
                                 clock::time_point aNow)
{
  if (mState != state::kSwapping) {
    return;
  }
  mState = state::kIdle;
  if (aOutcome == store::swap_outcome::kApplied) {
    CommitPending();
    return;
  }
  Retry(aNow);
  // A conflict may also hide an earlier attempt that was applied; reading back
  // shows it.
  const bool first = mFailures <= kQuickRetries;
  if (aOutcome == store::swap_outcome::kConflict && first) {
    mNotBefore = aNow + kConflictPause / 2 + Jitter(kConflictPause);
  }
}

void
term_reservations::Tick(clock::time_point aNow, std::vector<action>& aOut)
{
  if (mState != state::kIdle && aNow >= mTimeout) {
    mState = state::kIdle;
    Retry(aNow);
  }
  if (mState != state::kIdle) {
    return;
  }
  if (mSendPending) {
    mSendPending = false;
    mState = state::kSwapping;
    mTimeout = aNow + kStoreTimeout;
    aOut.emplace_back(swap_record{ mPending->value, mPending->expected });
    return;
  }
  if (!mPending && !WantsTerms() && !WantsPublication(aNow)) {
    return;
  }
  ScheduleCall(aNow);
  if (aNow < mNotBefore) {
    return;
  }
  mState = state::kReading;
  mTimeout = aNow + kStoreTimeout;
  aOut.emplace_back(read_record{});
}

clock::time_point
term_reservations::NextTick() const noexcept
{
  if (mState != state::kIdle) {
    return mTimeout;
  }
  if (mPending || WantsTerms()) {
    return mNotBefore;
  }
  if (mUnpublished) {
    return std::max(mPublishFrom, mNotBefore);
  }
  return clock::time_point::max();
}

std::size_t
term_reservations::Usable() const
{
  const auto count =
    std::count_if(mReserved.begin(), mReserved.end(), [this](auto aTerm) {
      return aTerm > mHighestSeen;
    });
  return static_cast<std::size_t>(count);
}

bool
term_reservations::WantsTerms() const
{
  return Usable() < mReserve || (mUrgent && Usable() == 0);
}

bool
term_reservations::WantsPublication(clock::time_point aNow) const
{
  return mUnpublished && aNow >= mPublishFrom;
}

// Compares the pending change with the store; true if it must be sent again
// unchanged. A change whose expected version has passed can never be applied
// any more.
bool
term_reservations::ResolvePending(const store::entry& aEntry,
                                  const term_record& aRecord)
{
  if (!mPending) {
    return false;
  }
  const auto& ids = aRecord.changes;
  if (std::find(ids.begin(), ids.end(), mPending->id) != ids.end()) {
    CommitPending();
    return false;
  }
  if (aEntry.version == mPending->expected) {
    mSendPending = true;
    return true;
  }
  mPending.reset();
  return false;
}

void
term_reservations::CommitPending()
{
  if (mPending) {
    std::copy(mPending->terms.begin(),
              mPending->terms.end(),
              std::back_inserter(mReserved));
    term_record written;
    if (!ParseRecord(mPending->value, written)) {
      ApplyRecord(written);
    }
  }
  mPending.reset();
  mFailures = 0;
  mIsScheduled = false;
}

void
term_reservations::ApplyRecord(const term_record& aRecord)
{
  ObserveTerm(aRecord.term);
  if (mUnpublished && mUnpublished->term <= aRecord.term) {
    mUnpublished.reset();
  }
  mReserved.erase(
    std::remove_if(mReserved.begin(),
                   mReserved.end(),
                   [this](auto aTerm) { return aTerm <= mHighestSeen; }),
    mReserved.end());
}

void
term_reservations::PrepareChange(const term_record& aRecord,
                                 store::index aVersion,
                                 clock::time_point aNow)
{
  term_record changed = aRecord;
  pending_change change;
  change.expected = aVersion;
  if (WantsPublication(aNow)) {
    changed.term = mUnpublished->term;
    changed.primary = mUnpublished->server;
  }
  changed.highest = std::max({ changed.highest, changed.term, mHighestSeen });
  for (auto count = Usable(); count < std::max<std::size_t>(mReserve, 1);
       ++count) {
    changed.reservations.push_back({ ++changed.highest, mVm, mIncarnation });
    change.terms.push_back(changed.highest);
  }
  PruneRecord(changed, mVm, mIncarnation);
  change.id = ChangeId(mIncarnation, changed, aVersion);
  changed.changes.push_back(change.id);
  PruneRecord(changed, mVm, mIncarnation);
  change.value = SerializeRecord(changed);
  mPending = change;
  mSendPending = true;
}

void
term_reservations::Retry(clock::time_point aNow)
{
  const auto doublings = std::min(mFailures, kMaxDoublings);
  ++mFailures;
  const auto longest = mUrgent ? kMaxUrgentBackoff : kMaxBackoff;
  const clock::duration pause =
    std::min<clock::duration>(kInitialBackoff * (1U << doublings), longest);
  mIsScheduled = true;
  mNotBefore = aNow + pause / 2 + Jitter(pause / 2);
}

// Determines, once for each need, when the store is accessed.
void
term_reservations::ScheduleCall(clock::time_point aNow)
{
  if (mIsScheduled) {
    return;
  }
  mIsScheduled = true;
  if (mUrgent) {
    mNotBefore = aNow;
  } else if (Usable() == 0) {
    mNotBefore = aNow + kRankSpan * mRank + Jitter(kFirstSpan);
  } else {
    mNotBefore = aNow + Jitter(kTopUpSpan);
  }
}

clock::duration
term_reservations::Jitter(clock::duration aSpan) const
{
  const auto salt = mIncarnation + '/' + mGroup;
  const auto draw = XXH3_64bits_withSeed(salt.data(), salt.size(), mFailures);
  constexpr std::uint64_t kJitterSteps = 1024;
  return aSpan * static_cast<clock::duration::rep>(draw % kJitterSteps) /
         static_cast<clock::duration::rep>(kJitterSteps);
}

} // namespace currantshed::failover

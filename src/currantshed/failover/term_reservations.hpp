#ifndef CURRANTSHED_FAILOVER_TERM_RESERVATIONS_HPP
#define CURRANTSHED_FAILOVER_TERM_RESERVATIONS_HPP

#include <optional>
#include <string>
#include <vector>

#include "currantshed/failover/coordinator.hpp"
#include "currantshed/failover/primary_ref.hpp"
#include "currantshed/failover/term_record.hpp"

namespace currantshed::failover {

/// Terms that one pooler has reserved for a group. Keeps some reserved in the
/// platform's store by compare-and-swap, and publishes primaries there. While
/// the store is down, the reserved ones remain usable. A term is used by one
/// incarnation only, and only if it is above every term seen.
class term_reservations
{
public:
  explicit term_reservations(const coordinator_settings& aSettings);

  /// Sets the group, whose name is part of the jitter: the groups of one pooler
  /// then access the store at different times.
  void SetGroup(const group::group_name& aGroup);

  /// Higher ranks access the store later when all owners start together.
  void SetRank(unsigned aRank) { mRank = aRank; }

  /// Records a term seen anywhere; only higher ones are usable from now on.
  void ObserveTerm(position::term_id aTerm);

  /// Lowest reserved term above every term seen.
  [[nodiscard]] std::optional<position::term_id> LowestUsable() const;

  /// Removes a term that is now in use.
  void MarkUsed(position::term_id aTerm);

  /// Requests terms without delay while a promoter waits for one.
  void SetUrgent(bool aUrgent);

  /// Schedules a primary for publication, not before the given time.
  void Publish(const primary_ref& aPrimary, clock::time_point aNotBefore);

  void RecordRead(bool aReached,
                  const store::entry& aEntry,
                  clock::time_point aNow);
  void RecordSwapped(store::swap_outcome aOutcome, clock::time_point aNow);

  void Tick(clock::time_point aNow, std::vector<action>& aOut);
  [[nodiscard]] clock::time_point NextTick() const noexcept;

private:
  enum class state
  {
    kIdle,
    kReading,
    kSwapping,
  };

  // Change that was sent and has not been read back from the store yet.
  struct pending_change
  {
    std::string id;
    std::string value;
    store::index expected = 0;
    std::vector<position::term_id> terms;
  };

  [[nodiscard]] std::size_t Usable() const;
  [[nodiscard]] bool WantsTerms() const;
  [[nodiscard]] bool WantsPublication(clock::time_point aNow) const;
  [[nodiscard]] bool ResolvePending(const store::entry& aEntry,
                                    const term_record& aRecord);
  void CommitPending();
  void ApplyRecord(const term_record& aRecord);
  void PrepareChange(const term_record& aRecord,
                     store::index aVersion,
                     clock::time_point aNow);
  void Retry(clock::time_point aNow);
  void ScheduleCall(clock::time_point aNow);
  [[nodiscard]] clock::duration Jitter(clock::duration aSpan) const;

  std::string mVm;
  group::group_name mGroup;
  incarnation_id mIncarnation;
  std::size_t mReserve;
  unsigned mRank;
  position::term_id mHighestSeen = 0;
  std::vector<position::term_id> mReserved;
  bool mUrgent = false;
  std::optional<primary_ref> mUnpublished;
  clock::time_point mPublishFrom;
  state mState = state::kIdle;
  clock::time_point mTimeout;
  clock::time_point mNotBefore;
  bool mIsScheduled = false;
  unsigned mFailures = 0;
  std::optional<pending_change> mPending;
  bool mSendPending = false;
};

} // namespace currantshed::failover

#endif

#ifndef CURRANTSHED_FAILOVER_TERM_RESERVATIONS_HPP
#define CURRANTSHED_FAILOVER_TERM_RESERVATIONS_HPP

#include <optional>
#include <string>
#include <vector>

#include "currantshed/failover/coordinator.hpp"
#include "currantshed/failover/primary_ref.hpp"
#include "currantshed/failover/term_record.hpp"

namespace currantshed::failover {

/// The term numbers that one pooler holds for a group. Keeps some reserved
/// ahead in the platform's store by compare-and-swap, and publishes primaries
/// there. While the store is down it keeps what it has. A number is used by
/// one incarnation only, and only above every term seen.
class term_reservations
{
public:
  explicit term_reservations(const coordinator_settings& aSettings);

  /// Names the group, so that the groups of one pooler ask the store at
  /// different moments.
  void SetGroup(const group::group_name& aGroup);

  /// Later ranks leave the store to earlier ones when all begin together.
  void SetRank(unsigned aRank) { mRank = aRank; }

  /// A term was seen somewhere: only higher ones are of use from now on.
  void ObserveTerm(position::term_id aTerm);

  /// The lowest number held above every term seen.
  [[nodiscard]] std::optional<position::term_id> LowestUsable() const;

  /// Removes a number: it is in use now.
  void MarkUsed(position::term_id aTerm);

  /// Asks for numbers without delay while a promoter waits for one.
  void SetUrgent(bool aUrgent);

  /// Wants a primary published, not before the given time.
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

  // A change that has been sent and not been seen in the store yet.
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
  std::vector<position::term_id> mHeld;
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

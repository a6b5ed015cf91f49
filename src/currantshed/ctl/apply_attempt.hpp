#ifndef CURRANTSHED_CTL_APPLY_ATTEMPT_HPP
#define CURRANTSHED_CTL_APPLY_ATTEMPT_HPP

#include <cstdint>
#include <optional>
#include <system_error>

#include "currantshed/ctl/fwd.hpp"
#include "currantshed/platform/client.hpp"
#include "currantshed/policy/configuration_record.hpp"

namespace currantshed::ctl {

/// What an attempt needs next.
enum class apply_step
{
  /// Write the record if the key still has the expected version.
  kSwap,
  /// Read the key.
  kRead,
  /// Nothing: the end is known.
  kDone,
};

/// How an attempt ended.
enum class apply_end
{
  kApplied,
  /// Another change took the version's place; this one never was in force
  /// and never will be.
  kLostRace,
  /// The change may have been made, or may still be.
  kNotKnown,
};

/// One try to put a configuration in force by compare-and-swap. An answer that
/// is lost is resolved by reading back: the id of the change tells this change
/// from others. Writing again is safe, since every write expects the same
/// version of the key. Does no I/O.
class apply_attempt
{
public:
  /// aRecord has the version after the expected one; aExpected is the version
  /// of the key that holds the expected one.
  apply_attempt(policy::configuration_record aRecord,
                platform::index aExpected);

  [[nodiscard]] apply_step Next() const noexcept;

  void SwapEnded(platform::swap_outcome aOutcome);

  void ReadEnded(std::error_code aError, const platform::entry& aEntry);

  /// No more time: the end is what is known by now.
  void GiveUp();

  /// Valid once Next is kDone.
  [[nodiscard]] apply_end End() const noexcept;

  /// Version that was last seen in force; zero where none was read.
  [[nodiscard]] std::uint64_t Found() const noexcept;

private:
  void Judge(const policy::configuration_record& aFound);
  void Finish(apply_end aEnd);

  policy::configuration_record mRecord;
  platform::index mExpected;
  apply_step mStep = apply_step::kSwap;
  apply_end mEnd = apply_end::kNotKnown;
  std::uint64_t mFound = 0;
  /// Whether a write may have taken effect without an answer.
  bool mIsInDoubt = false;
};

} // namespace currantshed::ctl

#endif

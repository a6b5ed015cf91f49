#ifndef CURRANTSHED_STORE_APPLY_HPP
#define CURRANTSHED_STORE_APPLY_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/policy/configuration_record.hpp"
#include "currantshed/store/client.hpp"
#include "currantshed/store/fwd.hpp"

namespace currantshed::store {

/// What an operator asks for.
struct apply_request
{
  std::string declaration;
  /// Names this change and no other.
  std::string change;
  /// Whether the same change was asked for before, with no known end. It is
  /// made at most once all the same.
  bool askedBefore = false;
  /// The version that the operator saw; zero for none.
  std::uint64_t expectedVersion = 0;
  /// For people to read.
  std::string appliedBy;
  std::string appliedAt;
  /// How long the platform may fail before the operator gets an answer.
  std::chrono::milliseconds giveUpAfter{ 15000 };
};

/// What became of a change.
enum class apply_outcome
{
  /// It was made.
  kApplied,
  /// Another change came first; this one was not made, and won't be.
  kLostRace,
  /// The platform couldn't be reached; this one was not made, and won't be.
  kNotReached,
  /// It may have been made, or may still be.
  kUnknown,
  /// What the store holds is no configuration; nothing was written over it.
  kUnreadable,
  /// It is larger than the platform's largest value, and was not made.
  kTooLarge,
};

struct apply_result
{
  apply_outcome outcome = apply_outcome::kUnknown;
  /// The version that the change became, or would have become.
  std::uint64_t version = 0;
  /// The version last seen in force; zero if there is none or none was seen.
  std::uint64_t inForce = 0;
};

/// Reads the key of the configuration; answered by ConfigurationRead.
struct read_configuration
{};

/// Writes the key if its version is still the expected one; answered by
/// ConfigurationSwapped.
struct swap_configuration
{
  std::string value;
  index expected = 0;
};

using apply_action = std::variant<read_configuration, swap_configuration>;

/// Largest value that the platform takes.
constexpr std::size_t kMaxValueBytes = 1U << 20U;

/// Puts one change in force by compare-and-swap against the version that the
/// operator saw, and tells truthfully what became of it. A lost answer is
/// resolved by reading back. Writing again is safe meanwhile, since every try
/// expects the same version of the key, and at most one can succeed. Does no
/// I/O; one call is under way at a time.
class applier
{
public:
  applier(apply_request aRequest, clock::time_point aNow);

  void ConfigurationRead(std::error_code aError,
                         const entry& aEntry,
                         clock::time_point aNow);

  void ConfigurationSwapped(swap_outcome aOutcome, clock::time_point aNow);

  void Tick(clock::time_point aNow);

  /// When Tick is due at the latest.
  [[nodiscard]] clock::time_point NextTick() const noexcept;

  /// Hands over the actions since the last call.
  [[nodiscard]] std::vector<apply_action> TakeActions();

  /// Set once at the end; no action follows.
  [[nodiscard]] const std::optional<apply_result>& Result() const noexcept;

private:
  [[nodiscard]] std::uint64_t NextVersion() const noexcept;
  void Judge(const policy::configuration_record& aFound, index aKeyVersion);
  void JudgeLater(const policy::configuration_record& aFound);
  void Write(const policy::configuration_record& aFormer, index aKeyVersion);
  void Read();
  void Finish(apply_outcome aOutcome);

  apply_request mRequest;
  clock::time_point mGiveUpAt;
  /// When to read again after a failure.
  std::optional<clock::time_point> mReadAt;
  std::uint64_t mInForce = 0;
  /// Whether a write may have taken effect, or still may, without an answer.
  bool mInDoubt = false;
  /// Whether a write is under way.
  bool mWriting = false;
  std::optional<apply_result> mResult;
  std::vector<apply_action> mActions;
};

} // namespace currantshed::store

#endif

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

/// A change of the configuration that an operator requests.
struct apply_request
{
  std::string declaration;
  /// Unique name of this change.
  std::string change;
  /// Whether the same change was requested before and its outcome is unknown.
  /// It is still made at most once.
  bool askedBefore = false;
  /// The version that the operator saw; zero if there was none.
  std::uint64_t expectedVersion = 0;
  /// Informational.
  std::string appliedBy;
  std::string appliedAt;
  /// How long to retry while the platform fails before reporting a result.
  std::chrono::milliseconds giveUpAfter{ 15000 };
};

/// The outcome of a change.
enum class apply_outcome
{
  /// The change was made.
  kApplied,
  /// Another change was made first; this one was not made and will not be.
  kLostRace,
  /// The platform could not be reached; the change was not made and will not
  /// be.
  kNotReached,
  /// The change may have been made, or may still be.
  kUnknown,
  /// The store does not hold a valid configuration; it was not overwritten.
  kUnreadable,
  /// The change exceeds the platform's maximum value size and was not made.
  kTooLarge,
};

struct apply_result
{
  apply_outcome outcome = apply_outcome::kUnknown;
  /// The version that the change has, or would have had.
  std::uint64_t version = 0;
  /// The version last seen in the store; zero if there is none or none was
  /// seen.
  std::uint64_t inForce = 0;
};

/// Reads the configuration key; completed by ConfigurationRead.
struct read_configuration
{};

/// Writes the key if it still has the expected version; completed by
/// ConfigurationSwapped.
struct swap_configuration
{
  std::string value;
  index expected = 0;
};

using apply_action = std::variant<read_configuration, swap_configuration>;

/// Maximum size of a value in the platform's store.
constexpr std::size_t kMaxValueBytes = 1U << 20U;

/// Makes one change of the configuration by compare-and-swap against the
/// version that the operator saw, and reports its outcome accurately. If a
/// response is lost, the key is read again to resolve the outcome. Retrying the
/// write is safe meanwhile: every attempt expects the same version of the key,
/// so at most one can succeed. Performs no I/O; at most one call is in progress
/// at a time.
class applier
{
public:
  applier(apply_request aRequest, clock::time_point aNow);

  /// Reports the result of read_configuration.
  void ConfigurationRead(std::error_code aError,
                         const entry& aEntry,
                         clock::time_point aNow);

  /// Reports the result of swap_configuration.
  void ConfigurationSwapped(swap_outcome aOutcome, clock::time_point aNow);

  /// Performs what is due: a retry, or giving up.
  void Tick(clock::time_point aNow);

  /// When Tick must be called next.
  [[nodiscard]] clock::time_point NextTick() const noexcept;

  /// Returns the actions since the last call.
  [[nodiscard]] std::vector<apply_action> TakeActions();

  /// Set once, at the end; no action follows.
  [[nodiscard]] const std::optional<apply_result>& Result() const noexcept;

private:
  [[nodiscard]] std::uint64_t NextVersion() const noexcept;
  void Evaluate(const policy::configuration_record& aFound, index aKeyVersion);
  void EvaluateNewer(const policy::configuration_record& aFound);
  void Write(const policy::configuration_record& aPrevious, index aKeyVersion);
  void Read();
  void Finish(apply_outcome aOutcome);

  apply_request mRequest;
  clock::time_point mGiveUpAt;
  /// When to read again after a failure.
  std::optional<clock::time_point> mReadAt;
  std::uint64_t mInForce = 0;
  /// Whether a write without a response may have been applied, or may still be.
  bool mInDoubt = false;
  /// Whether a write is in progress.
  bool mWriting = false;
  std::optional<apply_result> mResult;
  std::vector<apply_action> mActions;
};

} // namespace currantshed::store

#endif

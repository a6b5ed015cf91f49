#ifndef CURRANTSHED_POLICY_CONFIGURATION_RECORD_HPP
#define CURRANTSHED_POLICY_CONFIGURATION_RECORD_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantshed::policy {

/// The key of the platform's store that holds the configuration.
inline constexpr std::string_view kConfigurationKey =
  "currantshed/configuration";

/// How many earlier changes a record names.
inline constexpr std::size_t kEarlierChanges = 16;

/// The operators' declaration as the platform's store holds it.
struct configuration_record
{
  /// Goes up by one with each accepted change; the first one is one.
  std::uint64_t version = 0;
  /// Names the change, so that an operator whose answer was lost finds out
  /// whether the change was made.
  std::string change;
  /// The declaration's own YAML text.
  std::string declaration;
  /// The operator's own word on who they are; only for people to read.
  std::string appliedBy;
  /// The operator's wall clock as RFC 3339; only for people to read.
  std::string appliedAt;
  /// The changes before this one, newest first, for an operator whose change
  /// others have since built on.
  std::vector<std::string> earlierChanges;

  [[nodiscard]] friend bool operator==(const configuration_record&,
                                       const configuration_record&) = default;
};

/// Reads the store's JSON; none when it isn't a whole record with a version
/// above zero.
[[nodiscard]] std::optional<configuration_record>
ParseConfigurationRecord(std::string_view aJson);

/// Writes the store's JSON.
[[nodiscard]] std::string
PrintConfigurationRecord(const configuration_record& aRecord);

/// Makes the record that follows another one; a record of version zero stands
/// for none. Who applies it, and when, is left to the caller.
[[nodiscard]] configuration_record
NextConfigurationRecord(const configuration_record& aPrevious,
                        std::string aChange,
                        std::string aDeclaration);

/// What a record tells about one change.
enum class change_status
{
  /// The change was made; the record holds it or follows it.
  kIncluded,
  /// Another change took the version.
  kNotIncluded,
  /// The version lies before all that the record names.
  kTooOld,
};

/// Says whether a change was made as the given version, at or before which
/// the record stands.
[[nodiscard]] change_status
FindChange(const configuration_record& aRecord,
           std::string_view aChange,
           std::uint64_t aVersion);

} // namespace currantshed::policy

#endif

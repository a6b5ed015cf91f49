#ifndef CURRANTSHED_POLICY_CONFIGURATION_RECORD_HPP
#define CURRANTSHED_POLICY_CONFIGURATION_RECORD_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantshed::policy {

/// Key of the configuration in the platform's store.
inline constexpr std::string_view kConfigurationKey =
  "currantshed/configuration";

/// Maximum number of earlier changes in a record.
inline constexpr std::size_t kEarlierChanges = 16;

/// The operators' declaration as held in the platform's store.
struct configuration_record
{
  /// Starts at one and increases by one with each accepted change.
  std::uint64_t version = 0;
  /// Unique id of the change, by which an operator whose response was lost can
  /// find out whether the change was made.
  std::string change;
  /// YAML text of the declaration.
  std::string declaration;
  /// Who applied the change, as stated by the operator; informational only.
  std::string appliedBy;
  /// Wall clock time at the operator as RFC 3339; informational only.
  std::string appliedAt;
  /// Ids of the changes before this one, newest first, by which an operator can
  /// find a change after others have followed it.
  std::vector<std::string> earlierChanges;

  [[nodiscard]] friend bool operator==(const configuration_record&,
                                       const configuration_record&) = default;
};

/// Parses the JSON of the store; none unless it is a complete record with a
/// version above zero.
[[nodiscard]] std::optional<configuration_record>
ParseConfigurationRecord(std::string_view aJson);

/// Serializes a record to the JSON of the store.
[[nodiscard]] std::string
PrintConfigurationRecord(const configuration_record& aRecord);

/// Creates the record that follows aPrevious; version zero stands for no
/// previous record. The caller fills in appliedBy and appliedAt.
[[nodiscard]] configuration_record
NextConfigurationRecord(const configuration_record& aPrevious,
                        std::string aChange,
                        std::string aDeclaration);

/// Whether a configuration record includes a change.
enum class change_status
{
  /// The record is this change or follows it.
  kIncluded,
  /// Another change has the version, or the record has not reached it.
  kNotIncluded,
  /// The version is older than all changes in the record.
  kTooOld,
};

/// Tells whether aChange was accepted as version aVersion; aRecord has this
/// version or a later one if it was.
[[nodiscard]] change_status
FindChange(const configuration_record& aRecord,
           std::string_view aChange,
           std::uint64_t aVersion);

} // namespace currantshed::policy

#endif

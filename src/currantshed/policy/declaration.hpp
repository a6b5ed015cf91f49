#ifndef CURRANTSHED_POLICY_DECLARATION_HPP
#define CURRANTSHED_POLICY_DECLARATION_HPP

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "currantshed/policy/fwd.hpp"
#include "currantshed/policy/work_class.hpp"

namespace currantshed::policy {

/// Maximum size of a declaration.
constexpr std::size_t kMaxDeclarationBytes = 256UL * 1024;

/// Default maximum duration of a transaction.
constexpr std::chrono::milliseconds kDefaultTransactionLimit{ 30'000 };

/// Settings of one database group.
struct group_settings
{
  std::string name;
  /// Maximum duration of a transaction from its beginning; it is rolled back if
  /// it is still open then.
  std::chrono::milliseconds transactionLimit = kDefaultTransactionLimit;

  [[nodiscard]] friend bool operator==(const group_settings&,
                                       const group_settings&) = default;
};

/// The operators' configuration: classes and group settings, each sorted by
/// name.
struct declaration
{
  std::vector<work_class> classes;
  /// Only groups with explicit settings.
  std::vector<group_settings> groups;

  [[nodiscard]] friend bool operator==(const declaration&,
                                       const declaration&) = default;
};

/// An error in a declaration and its location; line and column start at one.
struct fault
{
  int line = 0;
  int column = 0;
  std::string message;

  [[nodiscard]] friend bool operator==(const fault&, const fault&) = default;
};

/// Result of parsing; value is valid only if faults is empty.
struct parsed_declaration
{
  declaration value;
  /// All errors, sorted by location.
  std::vector<fault> faults;
};

/// Parses and validates a declaration.
[[nodiscard]] parsed_declaration
ParseDeclaration(std::string_view aYaml);

/// Serializes a declaration in its canonical form: parsing it yields an equal
/// declaration, and equal declarations have equal texts.
[[nodiscard]] std::string
PrintDeclaration(const declaration& aDeclaration);

/// Finds a class by name; null if there is none.
[[nodiscard]] const work_class*
FindClass(const declaration& aDeclaration, std::string_view aName);

/// Maximum duration of a transaction of the group.
[[nodiscard]] std::chrono::milliseconds
TransactionLimitOf(const declaration& aDeclaration, std::string_view aGroup);

} // namespace currantshed::policy

#endif

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

/// Longest declaration that is read.
constexpr std::size_t kMaxDeclarationBytes = 256UL * 1024;

/// How long a transaction may stay open where the operators say nothing.
constexpr std::chrono::milliseconds kDefaultTransactionLimit{ 30'000 };

/// What operators may say about one database group.
struct group_settings
{
  std::string name;
  /// Time from a transaction's beginning to its end; one that is still open
  /// then is rolled back.
  std::chrono::milliseconds transactionLimit = kDefaultTransactionLimit;

  [[nodiscard]] friend bool operator==(const group_settings&,
                                       const group_settings&) = default;
};

/// All that the operators declare, sorted by name.
struct declaration
{
  std::vector<work_class> classes;
  /// Only groups for which something is said.
  std::vector<group_settings> groups;

  [[nodiscard]] friend bool operator==(const declaration&,
                                       const declaration&) = default;
};

/// One thing that is wrong in a declaration, with its place; line and column
/// count from one.
struct fault
{
  int line = 0;
  int column = 0;
  std::string message;

  [[nodiscard]] friend bool operator==(const fault&, const fault&) = default;
};

/// What was read; the value may be used only where there are no faults.
struct parsed_declaration
{
  declaration value;
  /// Everything that is wrong, in the order of the text.
  std::vector<fault> faults;
};

/// Reads and checks a declaration as a whole.
[[nodiscard]] parsed_declaration
ParseDeclaration(std::string_view aYaml);

/// The declaration in its canonical form: reading it again gives the same
/// declaration, and equal declarations have equal texts.
[[nodiscard]] std::string
PrintDeclaration(const declaration& aDeclaration);

/// The class of a name, or null.
[[nodiscard]] const work_class*
FindClass(const declaration& aDeclaration, std::string_view aName);

/// How long a transaction of a group may stay open.
[[nodiscard]] std::chrono::milliseconds
TransactionLimitOf(const declaration& aDeclaration, std::string_view aGroup);

} // namespace currantshed::policy

#endif

#ifndef CURRANTSHED_SETTINGS_COMMAND_LINE_HPP
#define CURRANTSHED_SETTINGS_COMMAND_LINE_HPP

#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantshed/settings/parser.hpp"

namespace currantshed::settings {

/// What stands on a command line.
struct command_line
{
  /// Values by flag, in the order given.
  absl::flat_hash_map<std::string, std::vector<std::string>> values;
  /// Arguments that are no flags.
  std::vector<std::string> arguments;
  /// One line for each thing that is wrong.
  std::vector<std::string> errors;
  bool wantsHelp = false;
  bool wantsVersion = false;
  bool wantsPrintSettings = false;
};

/// Reads a command line (without the program's name) as far as it can, so
/// that all faults come out at once.
[[nodiscard]] command_line
ParseCommandLine(const std::vector<option>& aOptions,
                 const std::vector<std::string>& aArguments);

} // namespace currantshed::settings

#endif

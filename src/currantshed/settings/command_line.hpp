#ifndef CURRANTSHED_SETTINGS_COMMAND_LINE_HPP
#define CURRANTSHED_SETTINGS_COMMAND_LINE_HPP

#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantshed/settings/parser.hpp"

namespace currantshed::settings {

/// A parsed command line.
struct command_line
{
  /// Values by flag, in the order given.
  absl::flat_hash_map<std::string, std::vector<std::string>> values;
  /// Positional arguments.
  std::vector<std::string> arguments;
  /// One line per error.
  std::vector<std::string> errors;
  bool wantsHelp = false;
  bool wantsVersion = false;
  bool wantsPrintSettings = false;
};

/// Parses a command line (without the program name). Continues after errors so
/// that all of them are reported at once.
[[nodiscard]] command_line
ParseCommandLine(const std::vector<option>& aOptions,
                 const std::vector<std::string>& aArguments);

} // namespace currantshed::settings

#endif

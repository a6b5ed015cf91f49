#ifndef CURRANTSHED_CTL_OPTIONS_HPP
#define CURRANTSHED_CTL_OPTIONS_HPP

#include <chrono>
#include <iosfwd>
#include <string>
#include <vector>

#include "currantshed/ctl/fwd.hpp"
#include "currantshed/settings/parser.hpp"

namespace currantshed::ctl {

/// Name of the program.
inline constexpr const char* kProgram = "currantshedctl";

/// Commands of currantshedctl.
enum class verb_id
{
  kValidate,
  kDiff,
  kApply,
  kShow,
  kStatus,
  kWait,
};

/// A command and how it appears on the command line.
struct verb
{
  verb_id id;
  const char* name;
  bool takesFile;
  const char* summary;
};

/// The settings of all commands.
struct ctl_settings
{
  std::string platformUrl = "http://127.0.0.1:8500";
  std::chrono::milliseconds platformTimeout{ 2000 };
  std::chrono::milliseconds vmTimeout{ 2000 };
  std::chrono::milliseconds timeout{ 30'000 };
  std::string outputFormat = "text";
  std::string gatewayStatusPort;
  std::string expectVersion;
  std::string change;
  std::string appliedBy;
  unsigned version = 0;
  std::vector<std::string> arguments;
};

/// Returns the command with this name, or null.
[[nodiscard]] const verb*
FindVerb(const std::string& aName);

/// Declares the flags of a command.
void
DeclareSettings(settings::parser& aParser,
                const verb& aVerb,
                ctl_settings& aSettings);

/// Prints the commands and the exit codes.
void
PrintUsage(std::ostream& aOut);

} // namespace currantshed::ctl

#endif

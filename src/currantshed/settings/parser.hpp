#ifndef CURRANTSHED_SETTINGS_PARSER_HPP
#define CURRANTSHED_SETTINGS_PARSER_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "currantshed/settings/fwd.hpp"

namespace currantshed::settings {

/// Exit code for invalid settings.
constexpr int kUsageExitCode = 2;

/// What the program does after parsing.
enum class parse_end
{
  kRun,
  kExit,
};

/// Result of parsing; the exit code applies to kExit only.
struct parse_result
{
  parse_end end = parse_end::kRun;
  int exitCode = 0;
};

/// Returns the value of an environment variable, or none.
using environment =
  std::function<std::optional<std::string>(const std::string& aName)>;

/// Parses the text of a setting into its target; returns the error message, or
/// an empty text on success.
using assignment = std::function<std::string(const std::string& aText)>;

/// One setting of a program.
struct option
{
  std::string flag;
  std::string help;
  /// Placeholder of the value in the help, for example MS.
  std::string unit;
  bool isRequired = false;
  bool isSecret = false;
  /// A Boolean setting: its flag may be given without a value.
  bool isSwitch = false;
  assignment assign;
  /// Returns the current value of the target as text.
  std::function<std::string()> print;
  /// Source of the current value, set by parsing.
  std::string_view origin = "default";
};

/// Parses a program's settings from flags (--name value or --name=value) and
/// environment variables (CURRANTSHED_NAME). Flags take precedence. An empty
/// variable counts as unset. The targets must outlive the parser; the initial
/// value of a target is its default.
class parser
{
public:
  parser(std::string aProgram, std::string aSummary);

  /// Adds a text. A required text must not be empty.
  void Text(std::string& aTarget,
            std::string aFlag,
            std::string aHelp,
            bool aRequired = false);

  /// Like Text, but the value is never printed.
  void Secret(std::string& aTarget,
              std::string aFlag,
              std::string aHelp,
              bool aRequired = false);

  /// Adds a text that must be one of the given choices.
  void Choice(std::string& aTarget,
              std::string aFlag,
              std::string aHelp,
              std::vector<std::string> aChoices);

  /// Adds a port from 1 to 65535; if it is not required, zero means none.
  void Port(std::uint16_t& aTarget,
            std::string aFlag,
            std::string aHelp,
            bool aRequired = false);

  /// Adds an integer within inclusive bounds.
  void Count(unsigned& aTarget,
             std::string aFlag,
             std::string aHelp,
             unsigned aMin,
             unsigned aMax);

  /// Adds a duration within inclusive bounds, written as 200, 200ms, 2s, 5m or
  /// 1h; a number without a unit is in milliseconds.
  void Milliseconds(std::chrono::milliseconds& aTarget,
                    std::string aFlag,
                    std::string aHelp,
                    std::chrono::milliseconds aMin,
                    std::chrono::milliseconds aMax);

  /// Adds a Boolean: --name, --name=yes or --name=no.
  void Switch(bool& aTarget, std::string aFlag, std::string aHelp);

  /// Accepts positional arguments. Without this call they are errors.
  void Arguments(std::vector<std::string>& aTarget,
                 std::string aName,
                 std::string aHelp);

  /// Sets a text printed at the end of the help, for example exit codes.
  void Epilogue(std::string aText);

  /// Parses flags and environment variables. Prints the help, version or
  /// settings if requested, or one line per error, and tells whether the
  /// program continues. The exit code for errors is 2.
  [[nodiscard]] parse_result Parse(int aCount, const char* const* aValues);

  /// As above, with the given arguments (without the program name), environment
  /// and streams.
  [[nodiscard]] parse_result Parse(const std::vector<std::string>& aArguments,
                                   const environment& aEnvironment,
                                   std::ostream& aOut,
                                   std::ostream& aErrors);

private:
  void Add(option aOption);
  [[nodiscard]] bool HasOwnVersion() const;
  void PrintHelp(std::ostream& aOut) const;
  void PrintSettings(std::ostream& aOut) const;

  std::string mProgram;
  std::string mSummary;
  std::string mEpilogue;
  std::vector<option> mOptions;
  std::vector<std::string>* mArguments = nullptr;
  std::string mArgumentsName;
  std::string mArgumentsHelp;
};

/// Name of the environment variable that corresponds to a flag.
[[nodiscard]] std::string
EnvironmentVariableName(std::string_view aFlag);

} // namespace currantshed::settings

#endif

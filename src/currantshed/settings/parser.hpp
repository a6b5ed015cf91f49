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

/// Exit code of a program that was started with wrong settings.
constexpr int kUsageExitCode = 2;

/// What the program does next.
enum class parse_end
{
  kRun,
  kExit,
};

/// How reading the settings ended; the exit code counts only for kExit.
struct parse_result
{
  parse_end end = parse_end::kRun;
  int exitCode = 0;
};

/// The value of an environment variable, or none.
using environment =
  std::function<std::optional<std::string>(const std::string& aName)>;

/// Turns the text of a setting into its value: the fault, or an empty text.
using assignment = std::function<std::string(const std::string& aText)>;

/// One setting of a program.
struct option
{
  std::string flag;
  std::string help;
  /// What stands for the value in the help, for example MS.
  std::string unit;
  bool isRequired = false;
  bool isSecret = false;
  /// A setting that is on or off: its flag may come without a value.
  bool isSwitch = false;
  assignment assign;
  /// The present value of the target as text.
  std::function<std::string()> print;
  /// Where the present value came from, once read.
  std::string_view origin = "default";
};

/// Reads a program's settings from flags (--name value or --name=value) and
/// from environment variables (CURRANTSHED_NAME), flags first. A variable
/// that is set to nothing counts as not set. The targets must outlive the
/// parser; a target's present value is its default.
class parser
{
public:
  parser(std::string aProgram, std::string aSummary);

  /// A required text must not end up empty.
  void Text(std::string& aTarget,
            std::string aFlag,
            std::string aHelp,
            bool aRequired = false);

  /// Like Text, but the value is never printed.
  void Secret(std::string& aTarget,
              std::string aFlag,
              std::string aHelp,
              bool aRequired = false);

  /// A text that must be one of the given words.
  void Choice(std::string& aTarget,
              std::string aFlag,
              std::string aHelp,
              std::vector<std::string> aChoices);

  /// A port from 1 to 65535; where it is not required, zero stands for none.
  void Port(std::uint16_t& aTarget,
            std::string aFlag,
            std::string aHelp,
            bool aRequired = false);

  /// A whole number within the bounds, both included.
  void Count(unsigned& aTarget,
             std::string aFlag,
             std::string aHelp,
             unsigned aMin,
             unsigned aMax);

  /// A time within the bounds, both included, as 200, 200ms, 2s, 5m or 1h; a
  /// number without a unit counts milliseconds.
  void Milliseconds(std::chrono::milliseconds& aTarget,
                    std::string aFlag,
                    std::string aHelp,
                    std::chrono::milliseconds aMin,
                    std::chrono::milliseconds aMax);

  /// On or off: --name, --name=yes or --name=no.
  void Switch(bool& aTarget, std::string aFlag, std::string aHelp);

  /// Takes arguments that are no flags. Without it they are faults.
  void Arguments(std::vector<std::string>& aTarget,
                 std::string aName,
                 std::string aHelp);

  /// A text that the help ends with, for example exit codes.
  void Epilogue(std::string aText);

  /// Reads flags and environment; prints help, version, settings or one line
  /// per fault, and says whether to go on. The exit code is 2 for faults.
  [[nodiscard]] parse_result Parse(int aCount, const char* const* aValues);

  /// The same from the given arguments (without the program's name),
  /// environment and streams.
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

/// Name of the environment variable of a flag.
[[nodiscard]] std::string
EnvironmentVariableName(std::string_view aFlag);

} // namespace currantshed::settings

#endif

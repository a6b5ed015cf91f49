#include "currantshed/settings/parser.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <limits>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>

#include "currantshed/settings/command_line.hpp"
#include "currantshed/settings/duration.hpp"

namespace currantshed::settings {
namespace {

constexpr unsigned kMaxPort = std::numeric_limits<std::uint16_t>::max();

std::optional<std::string>
ReadVariable(const std::string& aName)
{
  const char* const text = std::getenv(aName.c_str());
  if (text == nullptr) {
    return std::nullopt;
  }
  return std::string(text);
}

std::string
ParseNumber(const std::string& aText,
            unsigned aMin,
            unsigned aMax,
            unsigned& aNumber)
{
  const bool isNumber = absl::SimpleAtoi(aText, &aNumber);
  if (!isNumber || aNumber < aMin || aNumber > aMax) {
    return absl::StrCat("must be a whole number from ", aMin, " to ", aMax);
  }
  return {};
}

std::optional<bool>
ParseBool(const std::string& aText)
{
  const std::string lower = absl::AsciiStrToLower(aText);
  if (lower == "yes" || lower == "true" || lower == "1" || lower == "on") {
    return true;
  }
  if (lower == "no" || lower == "false" || lower == "0" || lower == "off") {
    return false;
  }
  return std::nullopt;
}

/// Sets one option from its flag or environment variable; appends errors.
void
ApplyOption(option& aOption,
            const command_line& aLine,
            const environment& aEnvironment,
            std::vector<std::string>& aErrors)
{
  const auto given = aLine.values.find(aOption.flag);
  std::optional<std::string> text;
  std::string source;
  if (given != aLine.values.end() && !given->second.empty()) {
    if (given->second.size() > 1) {
      aErrors.push_back(
        absl::StrCat("--", aOption.flag, ": given more than once"));
    }
    text = given->second.front();
    source = absl::StrCat("--", aOption.flag);
    aOption.origin = "flag";
  } else {
    text = aEnvironment(EnvironmentVariableName(aOption.flag));
    source = EnvironmentVariableName(aOption.flag);
    if (text && text->empty()) {
      text.reset();
    }
    if (text) {
      aOption.origin = "environment";
    }
  }
  if (text) {
    const std::string error = aOption.assign(*text);
    if (!error.empty()) {
      const std::string shown =
        aOption.isSecret ? "" : absl::StrCat(" (is '", *text, "')");
      aErrors.push_back(absl::StrCat(source, ": ", error, shown));
      return;
    }
  }
  if (aOption.isRequired && aOption.print().empty()) {
    aErrors.push_back(absl::StrCat("--",
                                   aOption.flag,
                                   ": required, or set ",
                                   EnvironmentVariableName(aOption.flag)));
  }
}

} // namespace

std::string
EnvironmentVariableName(std::string_view aFlag)
{
  const std::string flag(aFlag);
  return absl::StrCat(
    "CURRANTSHED_",
    absl::AsciiStrToUpper(absl::StrReplaceAll(flag, { { "-", "_" } })));
}

parser::parser(std::string aProgram, std::string aSummary)
  : mProgram(std::move(aProgram))
  , mSummary(std::move(aSummary))
{
}

void
parser::Add(option aOption)
{
  mOptions.push_back(std::move(aOption));
}

void
parser::Text(std::string& aTarget,
             std::string aFlag,
             std::string aHelp,
             bool aRequired)
{
  option added{ std::move(aFlag), std::move(aHelp), "TEXT", aRequired };
  added.assign = [&aTarget](const std::string& aText) {
    aTarget = aText;
    return std::string();
  };
  added.print = [&aTarget] { return aTarget; };
  Add(std::move(added));
}

void
parser::Secret(std::string& aTarget,
               std::string aFlag,
               std::string aHelp,
               bool aRequired)
{
  Text(aTarget, std::move(aFlag), std::move(aHelp), aRequired);
  mOptions.back().isSecret = true;
  mOptions.back().unit = "SECRET";
}

void
parser::Choice(std::string& aTarget,
               std::string aFlag,
               std::string aHelp,
               std::vector<std::string> aChoices)
{
  const std::string unit = absl::StrJoin(aChoices, "|");
  option added{ std::move(aFlag), std::move(aHelp), unit };
  added.assign = [&aTarget,
                  choices = std::move(aChoices)](const std::string& aText) {
    for (const auto& choice : choices) {
      if (choice == aText) {
        aTarget = aText;
        return std::string();
      }
    }
    return absl::StrCat("must be one of ", absl::StrJoin(choices, ", "));
  };
  added.print = [&aTarget] { return aTarget; };
  Add(std::move(added));
}

void
parser::Port(std::uint16_t& aTarget,
             std::string aFlag,
             std::string aHelp,
             bool aRequired)
{
  option added{ std::move(aFlag), std::move(aHelp), "PORT", aRequired };
  const unsigned min = aRequired ? 1 : 0;
  added.assign = [&aTarget, min](const std::string& aText) {
    unsigned number = 0;
    std::string error = ParseNumber(aText, min, kMaxPort, number);
    if (error.empty()) {
      aTarget = static_cast<std::uint16_t>(number);
    }
    return error;
  };
  added.print = [&aTarget, aRequired] {
    const bool isMissing = aRequired && aTarget == 0;
    return isMissing ? std::string() : absl::StrCat(aTarget);
  };
  Add(std::move(added));
}

void
parser::Count(unsigned& aTarget,
              std::string aFlag,
              std::string aHelp,
              unsigned aMin,
              unsigned aMax)
{
  option added{ std::move(aFlag), std::move(aHelp), "N" };
  added.assign = [&aTarget, aMin, aMax](const std::string& aText) {
    unsigned number = 0;
    std::string error = ParseNumber(aText, aMin, aMax, number);
    if (error.empty()) {
      aTarget = number;
    }
    return error;
  };
  added.print = [&aTarget] { return absl::StrCat(aTarget); };
  Add(std::move(added));
}

void
parser::Milliseconds(std::chrono::milliseconds& aTarget,
                     std::string aFlag,
                     std::string aHelp,
                     std::chrono::milliseconds aMin,
                     std::chrono::milliseconds aMax)
{
  option added{ std::move(aFlag), std::move(aHelp), "TIME" };
  added.assign = [&aTarget, aMin, aMax](const std::string& aText) {
    const auto time = ParseDuration(aText, unitless_number::kMilliseconds);
    if (!time || *time < aMin || *time > aMax) {
      return absl::StrCat("must be a time from ",
                          FormatDuration(aMin),
                          " to ",
                          FormatDuration(aMax));
    }
    aTarget = *time;
    return std::string();
  };
  added.print = [&aTarget] { return FormatDuration(aTarget); };
  Add(std::move(added));
}

void
parser::Switch(bool& aTarget, std::string aFlag, std::string aHelp)
{
  option added{ std::move(aFlag), std::move(aHelp) };
  added.isSwitch = true;
  added.assign = [&aTarget](const std::string& aText) {
    const auto value = ParseBool(aText);
    if (!value) {
      return std::string("must be yes or no");
    }
    aTarget = *value;
    return std::string();
  };
  added.print = [&aTarget] { return std::string(aTarget ? "yes" : "no"); };
  Add(std::move(added));
}

void
parser::Arguments(std::vector<std::string>& aTarget,
                  std::string aName,
                  std::string aHelp)
{
  mArguments = &aTarget;
  mArgumentsName = std::move(aName);
  mArgumentsHelp = std::move(aHelp);
}

void
parser::Epilogue(std::string aText)
{
  mEpilogue = std::move(aText);
}

parse_result
parser::Parse(int aCount, const char* const* aValues)
{
  const std::vector<std::string> arguments(aValues + (aCount > 0 ? 1 : 0),
                                           aValues + aCount);
  return Parse(arguments, ReadVariable, std::cout, std::cerr);
}

parse_result
parser::Parse(const std::vector<std::string>& aArguments,
              const environment& aEnvironment,
              std::ostream& aOut,
              std::ostream& aErrors)
{
  command_line line = ParseCommandLine(mOptions, aArguments);
  if (line.wantsHelp) {
    PrintHelp(aOut);
    return { parse_end::kExit, 0 };
  }
  if (line.wantsVersion) {
    aOut << mProgram << ' ' << CURRANTSHED_VERSION << '\n';
    return { parse_end::kExit, 0 };
  }
  for (auto& one : mOptions) {
    ApplyOption(one, line, aEnvironment, line.errors);
  }
  if (mArguments != nullptr) {
    *mArguments = line.arguments;
  } else {
    for (const auto& argument : line.arguments) {
      line.errors.push_back(absl::StrCat("unexpected argument ", argument));
    }
  }
  for (const auto& error : line.errors) {
    aErrors << mProgram << ": " << error << '\n';
  }
  if (!line.errors.empty()) {
    aErrors << mProgram << ": see --help\n";
    return { parse_end::kExit, kUsageExitCode };
  }
  if (line.wantsPrintSettings) {
    PrintSettings(aOut);
    return { parse_end::kExit, 0 };
  }
  return { parse_end::kRun, 0 };
}

bool
parser::HasOwnVersion() const
{
  return std::any_of(
    mOptions.begin(), mOptions.end(), [](const option& aOption) {
      return aOption.flag == "version";
    });
}

void
parser::PrintHelp(std::ostream& aOut) const
{
  aOut << mProgram << ": " << mSummary << "\n\nUsage: " << mProgram
       << " [flags]";
  if (mArguments != nullptr) {
    aOut << ' ' << mArgumentsName << "\n\n" << mArgumentsHelp;
  }
  aOut
    << "\n\nFlags, each with its environment variable; a flag takes precedence "
       "over its variable:\n";
  for (const auto& one : mOptions) {
    const std::string preset = one.isSecret ? "" : one.print();
    const std::string shown =
      preset.empty() ? "" : absl::StrCat(" (default: ", preset, ")");
    aOut << absl::StreamFormat("  --%s %s, %s\n      %s%s\n",
                               one.flag,
                               one.unit,
                               EnvironmentVariableName(one.flag),
                               one.help,
                               one.isRequired ? " (required)" : shown);
  }
  aOut << "  --help\n      prints this text\n";
  if (!HasOwnVersion()) {
    aOut << "  --version\n      prints the version\n";
  }
  aOut << "  --print-settings\n      prints every setting, its value and where "
          "the value came from\n";
  if (!mEpilogue.empty()) {
    aOut << '\n' << mEpilogue << '\n';
  }
}

void
parser::PrintSettings(std::ostream& aOut) const
{
  for (const auto& one : mOptions) {
    const std::string present = one.print();
    const bool isHidden = one.isSecret && !present.empty();
    aOut << absl::StreamFormat("%-32s %-32s %s\n",
                               one.flag,
                               isHidden ? "(hidden)" : present,
                               std::string(one.origin));
  }
}

} // namespace currantshed::settings

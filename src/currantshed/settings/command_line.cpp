#include "currantshed/settings/command_line.hpp"

#include <memory>
#include <string_view>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <tclap/CmdLine.h>

namespace currantshed::settings {
namespace {

constexpr std::string_view kPrefix = "--";
constexpr const char* kHelp = "help";
constexpr const char* kVersion = "version";
constexpr const char* kPrintSettings = "print-settings";
constexpr const char* kUnit = "value";

using value_flag = TCLAP::MultiArg<std::string>;
using plain_flag = TCLAP::SwitchArg;

/// The option named by a token such as --name, or null.
const option*
FindOption(const std::vector<option>& aOptions, std::string_view aToken)
{
  if (aToken.substr(0, kPrefix.size()) != kPrefix) {
    return nullptr;
  }
  const auto flag = aToken.substr(kPrefix.size());
  for (const auto& one : aOptions) {
    if (one.flag == flag) {
      return &one;
    }
  }
  return nullptr;
}

/// Splits --name=value into two tokens if the name is a known option.
std::vector<std::string>
SplitValues(const std::vector<option>& aOptions,
            const std::vector<std::string>& aArguments)
{
  std::vector<std::string> tokens;
  for (const auto& argument : aArguments) {
    const auto equals = argument.find('=');
    const std::string head = argument.substr(0, equals);
    const auto* const known = FindOption(aOptions, head);
    if (equals != std::string::npos && known != nullptr) {
      tokens.push_back(head);
      tokens.push_back(argument.substr(equals + 1));
      continue;
    }
    tokens.push_back(argument);
    if (known != nullptr && known->isSwitch) {
      tokens.emplace_back("yes");
    }
  }
  return tokens;
}

/// Removes flags without a value and adds an error for each.
std::vector<std::string>
DropFlagsWithoutValue(const std::vector<option>& aOptions,
                      const std::vector<std::string>& aTokens,
                      std::vector<std::string>& aErrors)
{
  std::vector<std::string> complete;
  for (std::size_t i = 0; i < aTokens.size(); ++i) {
    if (FindOption(aOptions, aTokens[i]) == nullptr) {
      complete.push_back(aTokens[i]);
      continue;
    }
    const bool hasValue =
      i + 1 < aTokens.size() && FindOption(aOptions, aTokens[i + 1]) == nullptr;
    if (!hasValue) {
      aErrors.push_back(absl::StrCat(aTokens[i], ": needs a value"));
      continue;
    }
    complete.push_back(aTokens[i]);
    complete.push_back(aTokens[i + 1]);
    ++i;
  }
  return complete;
}

/// Separates unknown flags from positional arguments. The token after an
/// unknown flag is taken as its value.
void
ClassifyRemaining(const std::vector<std::string>& aRemaining,
                  command_line& aLine)
{
  bool isAfterUnknown = false;
  for (const auto& token : aRemaining) {
    if (absl::StartsWith(token, "-") && token.size() > 1) {
      aLine.errors.push_back(absl::StrCat("unknown flag ", token));
      isAfterUnknown = !absl::StrContains(token, "=");
      continue;
    }
    if (!isAfterUnknown) {
      aLine.arguments.push_back(token);
    }
    isAfterUnknown = false;
  }
}

} // namespace

command_line
ParseCommandLine(const std::vector<option>& aOptions,
                 const std::vector<std::string>& aArguments)
{
  command_line line;
  auto tokens = DropFlagsWithoutValue(
    aOptions, SplitValues(aOptions, aArguments), line.errors);
  tokens.insert(tokens.begin(), "currantshed");
  try {
    // TCLAP's built-in flags are disabled because they terminate the process.
    TCLAP::CmdLine reader("", ' ', "", false);
    reader.setExceptionHandling(false);
    std::vector<std::unique_ptr<value_flag>> flags;
    flags.reserve(aOptions.size());
    for (const auto& one : aOptions) {
      flags.push_back(std::make_unique<value_flag>(
        "", one.flag, one.help, false, kUnit, reader));
    }
    const plain_flag help("", kHelp, "", reader);
    // A program may define its own --version flag, which takes a value.
    std::unique_ptr<plain_flag> version;
    if (FindOption(aOptions, std::string(kPrefix) + kVersion) == nullptr) {
      version = std::make_unique<plain_flag>("", kVersion, "", reader);
    }
    const plain_flag print("", kPrintSettings, "", reader);
    TCLAP::UnlabeledMultiArg<std::string> remaining(
      "arguments", "positional arguments", false, kUnit, reader);
    reader.parse(tokens);
    for (std::size_t i = 0; i < aOptions.size(); ++i) {
      line.values[aOptions[i].flag] = flags[i]->getValue();
    }
    line.wantsHelp = help.isSet();
    line.wantsVersion = version != nullptr && version->isSet();
    line.wantsPrintSettings = print.isSet();
    ClassifyRemaining(remaining.getValue(), line);
  } catch (const TCLAP::ArgException& error) {
    line.errors.push_back(absl::StrCat(error.argId(), ": ", error.error()));
  } catch (const TCLAP::ExitException&) {
    line.errors.emplace_back("cannot parse the command line");
  }
  return line;
}

} // namespace currantshed::settings

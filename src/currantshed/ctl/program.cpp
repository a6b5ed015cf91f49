#include "currantshed/ctl/program.hpp"

#include <chrono>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <absl/random/random.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/asio/io_context.hpp>

#include "currantshed/clock/print_time.hpp"
#include "currantshed/ctl/options.hpp"
#include "currantshed/ctl/sleep_clock.hpp"
#include "currantshed/ctl/verbs.hpp"
#include "currantshed/settings/parser.hpp"
#include "currantshed/store/http_client.hpp"

namespace currantshed::ctl {
namespace {

class steady_sleep_clock : public sleep_clock
{
public:
  clock::time_point Now() override { return std::chrono::steady_clock::now(); }

  void Sleep(std::chrono::milliseconds aTime) override
  {
    std::this_thread::sleep_for(aTime);
  }
};

int
ReportUsageError(const std::string& aWhat)
{
  std::cerr << kProgram << ": " << aWhat << "; see --help\n";
  return settings::kUsageExitCode;
}

/// Reads the file's text, up to one byte more than the maximum size of a
/// declaration.
std::optional<source_file>
ReadSource(const std::string& aName)
{
  std::ifstream file;
  if (aName != "-") {
    file.open(aName, std::ios::binary);
    if (!file) {
      return std::nullopt;
    }
  }
  std::istream& stream = aName == "-" ? std::cin : file;
  std::string text(policy::kMaxDeclarationBytes + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (stream.bad()) {
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(stream.gcount()));
  return source_file{ aName == "-" ? "(standard input)" : aName, text };
}

/// Generates a unique id for a change.
std::string
MakeChangeId()
{
  absl::BitGen random;
  return absl::StrFormat("%016x%016x",
                         absl::Uniform<std::uint64_t>(random),
                         absl::Uniform<std::uint64_t>(random));
}

/// Parses the expected version: unset for an empty text; returns false if the
/// text is invalid.
bool
ReadExpected(const std::string& aText, std::optional<std::uint64_t>& aVersion)
{
  if (aText.empty()) {
    return true;
  }
  std::uint64_t number = 0;
  if (!absl::SimpleAtoi(aText, &number)) {
    return false;
  }
  aVersion = number;
  return true;
}

apply_options
MakeApplyOptions(const ctl_settings& aSettings,
                 const std::optional<std::uint64_t>& aExpected)
{
  const bool isRetry = !aSettings.change.empty();
  apply_options options;
  options.expected = aExpected;
  options.change = isRetry ? aSettings.change : MakeChangeId();
  options.askedBefore = isRetry;
  options.appliedBy = aSettings.appliedBy;
  options.appliedAt = clock::PrintTime(std::chrono::system_clock::now());
  options.timeout = aSettings.timeout;
  return options;
}

exit_code
RunCommand(const verb& aVerb,
           const ctl_settings& aSettings,
           const source_file& aFile,
           const std::optional<std::uint64_t>& aExpected)
{
  boost::asio::io_context loop;
  const auto client = store::MakeHttpClient(
    loop, aSettings.platformUrl, aSettings.platformTimeout);
  blocking_platform blocking(*client, [&loop] {
    loop.restart();
    loop.run_one();
  });
  const auto fetcher = http::MakeCurlFetcher();
  steady_sleep_clock time;
  const printer results{ aSettings.outputFormat == "json" ? output::kJson
                                                          : output::kText,
                         std::cout,
                         std::cerr };
  verbs work(blocking, *fetcher, time, results);
  query_options queryOptions;
  queryOptions.vmTimeout = aSettings.vmTimeout;
  queryOptions.gateways = ParseGatewayPort(aSettings.gatewayStatusPort);
  switch (aVerb.id) {
    case verb_id::kValidate:
      return work.Validate(aFile);
    case verb_id::kDiff:
      return work.Diff(aFile);
    case verb_id::kApply:
      return work.Apply(aFile, MakeApplyOptions(aSettings, aExpected));
    case verb_id::kShow:
      return work.Show();
    case verb_id::kStatus:
      return work.Status(queryOptions);
    case verb_id::kWait:
      return work.Wait(aSettings.version, aSettings.timeout, queryOptions);
  }
  return exit_code::kUsage;
}

int
RunVerb(const verb& aVerb, int aCount, const char* const* aValues)
{
  ctl_settings read;
  settings::parser parser(absl::StrCat(kProgram, " ", aVerb.name),
                          aVerb.summary);
  DeclareSettings(parser, aVerb, read);
  const auto result = parser.Parse(aCount, aValues);
  if (result.end == settings::parse_end::kExit) {
    return result.exitCode;
  }
  if (aVerb.takesFile && read.arguments.size() != 1) {
    return ReportUsageError(absl::StrCat(aVerb.name, " needs one FILE"));
  }
  if (aVerb.id == verb_id::kWait && read.version == 0) {
    return ReportUsageError("wait needs --version");
  }
  if (!read.gatewayStatusPort.empty() &&
      !ParseGatewayPort(read.gatewayStatusPort)) {
    return ReportUsageError("--gateway-status-port must be a port or +N");
  }
  std::optional<std::uint64_t> expected;
  if (!ReadExpected(read.expectVersion, expected)) {
    return ReportUsageError("--expect-version must be a whole number");
  }
  if (!read.change.empty() && !expected) {
    return ReportUsageError(
      "--change needs the --expect-version of the first attempt");
  }
  source_file file;
  if (aVerb.takesFile) {
    const auto source = ReadSource(read.arguments.front());
    if (!source) {
      return ReportUsageError(
        absl::StrCat("can't read the file ", read.arguments.front()));
    }
    file = *source;
  }
  return static_cast<int>(RunCommand(aVerb, read, file, expected));
}

} // namespace

int
RunProgram(int aCount, const char* const* aValues)
{
  if (aCount < 2) {
    PrintUsage(std::cerr);
    return settings::kUsageExitCode;
  }
  const std::string first = aValues[1];
  if (first == "--help" || first == "help") {
    PrintUsage(std::cout);
    return 0;
  }
  if (first == "--version") {
    std::cout << kProgram << ' ' << CURRANTSHED_VERSION << '\n';
    return 0;
  }
  const auto* const chosen = FindVerb(first);
  if (chosen == nullptr) {
    return ReportUsageError(absl::StrCat("no such verb: ", first));
  }
  return RunVerb(*chosen, aCount - 1, aValues + 1);
}

} // namespace currantshed::ctl

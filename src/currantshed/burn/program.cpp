#include "currantshed/burn/program.hpp"

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <limits>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/asio/io_context.hpp>
#include <boost/json/serialize.hpp>

#include "currantshed/burn/picture.hpp"
#include "currantshed/burn/print.hpp"
#include "currantshed/burn/report.hpp"
#include "currantshed/burn/snapshot_store.hpp"
#include "currantshed/ctl/blocking_platform.hpp"
#include "currantshed/ctl/gateway_port.hpp"
#include "currantshed/http/fetcher.hpp"
#include "currantshed/policy/configuration_record.hpp"
#include "currantshed/settings/parser.hpp"
#include "currantshed/store/http_client.hpp"

namespace currantshed::burn {
namespace {

constexpr const char* kProgram = "currantshed-burn";
constexpr const char* kSummary =
  "reports how fast each class of work burns its error budget, from the "
  "metrics of the gateways";
constexpr long kOk = 200;
constexpr unsigned kMaxSamples = 100'000;
constexpr std::chrono::milliseconds kMinDuration{ 1 };
constexpr std::chrono::hours kMaxDuration{ 6 };

constexpr const char* kEpilogue =
  "Gateways are read from --targets or, with --gateway-status-port, from the\n"
  "platform's list. With neither, only the snapshots in --snapshot-dir are "
  "used.\n"
  "With both a directory and gateways, each reading is stored there, so\n"
  "that a run per minute with --samples 1 eventually covers all windows.\n\n"
  "Exit codes:\n"
  "  0  no alert\n"
  "  1  at least one alert rule fires\n"
  "  2  invalid flags, or a file that cannot be read or written\n"
  "  3  no data: no two snapshots of one gateway";

struct burn_settings
{
  std::string declaration;
  std::string targets;
  std::string platformUrl;
  std::chrono::milliseconds timeout{ 2000 };
  std::string gatewayStatusPort;
  std::chrono::milliseconds interval{ 10'000 };
  unsigned samples = 2;
  std::string snapshotFolder;
  std::string picture;
  std::string outputForm = "text";
};

void
Declare(settings::parser& aParser, burn_settings& aSettings)
{
  aParser.Text(
    aSettings.declaration,
    "declaration",
    "file with the objectives of the classes; default: the declaration "
    "in force at the platform");
  aParser.Text(aSettings.targets,
               "targets",
               "status ports of the gateways, as IP:PORT,IP:PORT");
  aParser.Text(aSettings.platformUrl,
               "platform-url",
               "address of the platform's service, as http://IP:PORT");
  aParser.Text(aSettings.gatewayStatusPort,
               "gateway-status-port",
               "status port of the gateway on each VM of the platform's list, "
               "or +N for the one N above the pooler's");
  aParser.Milliseconds(aSettings.timeout,
                       "timeout",
                       "timeout of one request",
                       kMinDuration,
                       kMaxDuration);
  aParser.Milliseconds(aSettings.interval,
                       "interval",
                       "interval between readings",
                       kMinDuration,
                       kMaxDuration);
  aParser.Count(aSettings.samples, "samples", "readings", 1, kMaxSamples);
  aParser.Text(aSettings.snapshotFolder,
               "snapshot-dir",
               "directory to read snapshots from, and to write them to if "
               "gateways are read");
  aParser.Text(aSettings.picture, "picture", "PNG file for the chart");
  aParser.Choice(
    aSettings.outputForm, "output", "format of the report", { "text", "json" });
  aParser.Epilogue(kEpilogue);
}

int
End(exit_code aCode)
{
  return static_cast<int>(aCode);
}

int
Fail(exit_code aCode, const std::string& aWhat)
{
  std::cerr << kProgram << ": " << aWhat << '\n';
  return End(aCode);
}

/// Blocking client for a single request to the platform.
class platform_reader
{
public:
  explicit platform_reader(const burn_settings& aSettings)
    : mClient(
        store::MakeHttpClient(mLoop, aSettings.platformUrl, aSettings.timeout))
    , mBlocking(*mClient, [this] {
      mLoop.restart();
      mLoop.run_one();
    })
  {
  }

  std::optional<std::string> Declaration()
  {
    const auto read = mBlocking.Get(std::string(policy::kConfigurationKey));
    const auto record = policy::ParseConfigurationRecord(read.value.value);
    if (read.error || !record) {
      return std::nullopt;
    }
    return record->declaration;
  }

  std::vector<std::string> Targets(const ctl::gateway_port& aPort)
  {
    std::vector<std::string> targets;
    for (const auto& vm : mBlocking.List().value.vms) {
      targets.push_back(
        absl::StrCat(vm.address, ":", ctl::GatewayPortOf(vm, aPort)));
    }
    return targets;
  }

private:
  boost::asio::io_context mLoop;
  std::unique_ptr<store::client> mClient;
  ctl::blocking_platform mBlocking;
};

std::optional<std::string>
ReadFile(const std::string& aName)
{
  std::ifstream file(aName, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file),
                     std::istreambuf_iterator<char>());
}

std::optional<std::string>
ReadDeclarationText(const burn_settings& aSettings)
{
  if (!aSettings.declaration.empty()) {
    return ReadFile(aSettings.declaration);
  }
  if (aSettings.platformUrl.empty()) {
    return std::nullopt;
  }
  return platform_reader(aSettings).Declaration();
}

std::vector<std::string>
FindTargets(const burn_settings& aSettings)
{
  if (!aSettings.targets.empty()) {
    return absl::StrSplit(aSettings.targets, ',', absl::SkipWhitespace());
  }
  const auto port = ctl::ParseGatewayPort(aSettings.gatewayStatusPort);
  if (!aSettings.platformUrl.empty() && port) {
    return platform_reader(aSettings).Targets(*port);
  }
  return {};
}

/// Reads the metrics of all gateways once; reports and skips those that do not
/// answer.
void
ReadOnce(const std::vector<std::string>& aTargets,
         const burn_settings& aSettings,
         http::fetcher& aFetcher,
         std::vector<snapshot>& aSnapshots)
{
  std::vector<std::string> urls;
  urls.reserve(aTargets.size());
  for (const auto& target : aTargets) {
    urls.push_back(absl::StrCat("http://", target, "/metrics"));
  }
  const auto time = std::chrono::system_clock::now();
  const auto answers = aFetcher.Fetch(urls, aSettings.timeout);
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    if (answers[i].status != kOk) {
      std::cerr << kProgram << ": no metrics from " << aTargets[i] << ": "
                << answers[i].error << '\n';
      continue;
    }
    aSnapshots.push_back({ aTargets[i], time, ReadCounters(answers[i].body) });
    if (!aSettings.snapshotFolder.empty() &&
        !SaveSnapshot(
          aSettings.snapshotFolder, aTargets[i], time, answers[i].body)) {
      std::cerr << kProgram << ": cannot write a snapshot to "
                << aSettings.snapshotFolder << '\n';
    }
  }
}

std::vector<snapshot>
Gather(const burn_settings& aSettings, const std::vector<std::string>& aTargets)
{
  std::vector<snapshot> snapshots;
  if (!aSettings.snapshotFolder.empty()) {
    snapshots =
      LoadSnapshots(aSettings.snapshotFolder).value_or(std::vector<snapshot>{});
  }
  const auto fetcher = http::MakeCurlFetcher();
  const unsigned readings = aTargets.empty() ? 0 : aSettings.samples;
  for (unsigned i = 0; i < readings; ++i) {
    if (i > 0) {
      std::this_thread::sleep_for(aSettings.interval);
    }
    ReadOnce(aTargets, aSettings, *fetcher, snapshots);
  }
  return snapshots;
}

int
Tell(const burn_settings& aSettings, const policy::declaration& aDeclaration)
{
  const auto targets = FindTargets(aSettings);
  if (targets.empty() && aSettings.snapshotFolder.empty()) {
    return Fail(exit_code::kUsage,
                "nothing to read: give --targets, --platform-url with "
                "--gateway-status-port, or --snapshot-dir");
  }
  const auto increments = MakeIncrements(Gather(aSettings, targets));
  const auto told = MakeReport(aDeclaration, increments);
  if (!told) {
    return Fail(exit_code::kNoData, "no data: no two snapshots of one gateway");
  }
  if (aSettings.outputForm == "json") {
    std::cout << boost::json::serialize(ReportToJson(*told)) << '\n';
  } else {
    std::cout << FormatReport(*told);
  }
  if (!aSettings.picture.empty() &&
      !DrawPicture(*told, increments, aSettings.picture)) {
    return Fail(exit_code::kUsage,
                absl::StrCat("cannot write ", aSettings.picture));
  }
  return End(told->IsBurning() ? exit_code::kAlert : exit_code::kNoAlert);
}

} // namespace

int
RunProgram(int aCount, const char* const* aValues)
{
  burn_settings read;
  settings::parser parser(kProgram, kSummary);
  Declare(parser, read);
  const auto result = parser.Parse(aCount, aValues);
  if (result.end == settings::parse_end::kExit) {
    return result.exitCode;
  }
  if (!read.gatewayStatusPort.empty() &&
      !ctl::ParseGatewayPort(read.gatewayStatusPort)) {
    return Fail(exit_code::kUsage,
                "--gateway-status-port must be a port or +N");
  }
  const auto text = ReadDeclarationText(read);
  if (!text) {
    return Fail(exit_code::kUsage,
                "no declaration: give --declaration FILE, or a "
                "--platform-url where one is in force");
  }
  const auto declared = policy::ParseDeclaration(*text);
  for (const auto& one : declared.faults) {
    std::cerr << kProgram << ": declaration:" << one.line << ':' << one.column
              << ": " << one.message << '\n';
  }
  if (!declared.faults.empty()) {
    return End(exit_code::kUsage);
  }
  return Tell(read, declared.value);
}

} // namespace currantshed::burn

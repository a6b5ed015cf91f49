#include "bin/currantshed-pooler/options.hpp"

#include <chrono>
#include <iostream>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/random/random.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

namespace currantshed::pooler {

namespace {

using namespace std::chrono_literals;
using currantshed::settings::kUsageExitCode;
using currantshed::settings::parse_end;
using currantshed::settings::parse_result;
using currantshed::settings::parser;

constexpr unsigned kPercent = 100;

/// Values of the flags before they are converted to settings.
struct typed_values
{
  unsigned answerLimitBytes = 0;
  unsigned queueLimit = 0;
  unsigned reservePercent = 0;
  std::string peers;
  std::string logLevel = "info";
};

void
DeclareIdentity(parser& aParser, settings& aSettings)
{
  store::vm& self = aSettings.self;
  aParser.Text(self.id, "vm", "Name of this VM", true);
  aParser.Text(
    self.failureDomain, "failure-domain", "Its failure domain", true);
  aParser.Text(self.address, "address", "Its IP address", true);
  aParser.Port(
    self.poolerPort, "request-port", "Port for requests of gateways", true);
  aParser.Port(
    self.peerPort, "peer-port", "Port for heartbeats of other poolers", true);
  aParser.Port(self.statusPort,
               "status-port",
               "Port for metrics, health and status over HTTP",
               true);
}

void
DeclareTimes(parser& aParser, options& aOptions)
{
  settings& given = aOptions.settings;
  aParser.Milliseconds(
    given.validity,
    "validity-ms",
    "Validity of a majority confirmation; the same on all VMs",
    10ms,
    10s);
  aParser.Milliseconds(given.probeInterval,
                       "probe-interval-ms",
                       "Interval between probes of a server",
                       5ms,
                       10s);
  aParser.Milliseconds(
    given.suspectAfter,
    "suspect-after-ms",
    "Time without a response after which a primary is suspected",
    20ms,
    60s);
  aParser.Milliseconds(given.transactionIdle,
                       "transaction-idle-ms",
                       "Idle timeout of an open transaction",
                       100ms,
                       1h);
  aParser.Milliseconds(given.listInterval,
                       "list-interval-ms",
                       "Interval between reads of the platform's listing",
                       100ms,
                       60s);
  aParser.Milliseconds(given.platformTimeout,
                       "platform-timeout-ms",
                       "Timeout of a call to the platform",
                       50ms,
                       60s);
  aParser.Milliseconds(aOptions.drainTimeout,
                       "drain-timeout-ms",
                       "Time that a shutdown waits for requests in flight",
                       0ms,
                       1h);
}

void
DeclareLimits(parser& aParser, typed_values& aTyped)
{
  constexpr unsigned kLeastAnswer = 1024;
  constexpr unsigned kMostAnswer = 12 * 1024 * 1024;
  constexpr unsigned kMostQueued = 100000;
  aParser.Count(aTyped.answerLimitBytes,
                "answer-limit-bytes",
                "Maximum size of a server's answer to one request",
                kLeastAnswer,
                kMostAnswer);
  aParser.Count(aTyped.queueLimit,
                "queue-limit",
                "Maximum number of requests queued for one group",
                1,
                kMostQueued);
  aParser.Count(aTyped.reservePercent,
                "takeover-reserve",
                "Percentage of a server's connections reserved for a takeover",
                0,
                kPercent);
}

std::optional<std::vector<peer_address>>
ParsePeers(const std::string& aText)
{
  std::vector<peer_address> peers;
  for (const auto part : absl::StrSplit(aText, ',', absl::SkipEmpty())) {
    const std::vector<std::string> halves = absl::StrSplit(part, ':');
    unsigned port = 0;
    if (halves.size() != 2 || !absl::SimpleAtoi(halves[1], &port) ||
        port == 0 || port > std::numeric_limits<std::uint16_t>::max()) {
      return std::nullopt;
    }
    peers.push_back({ halves[0], static_cast<std::uint16_t>(port) });
  }
  return peers;
}

log::level
ParseLevel(std::string_view aText)
{
  if (aText == "debug") {
    return log::level::kDebug;
  }
  if (aText == "warning") {
    return log::level::kWarning;
  }
  return aText == "error" ? log::level::kError : log::level::kInfo;
}

/// Returns a unique id for this incarnation of the process.
failover::incarnation_id
MakeIncarnation(const std::string& aVm)
{
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const auto startedAt =
    std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
  absl::BitGen random;
  return absl::StrFormat(
    "%s/%d/%08x", aVm, startedAt, absl::Uniform<std::uint32_t>(random));
}

void
Declare(parser& aParser, options& aOptions, typed_values& aTyped)
{
  DeclareIdentity(aParser, aOptions.settings);
  aParser.Text(aOptions.settings.platformUrl,
               "platform-url",
               "The platform's service, as http://address:port",
               true);
  aParser.Text(aTyped.peers,
               "peers",
               "Peers to ask for the configuration while the platform is "
               "down, as address:peer-port,...");
  DeclareTimes(aParser, aOptions);
  DeclareLimits(aParser, aTyped);
  aParser.Choice(aTyped.logLevel,
                 "log-level",
                 "Minimum level that is logged",
                 { "debug", "info", "warning", "error" });
}

} // namespace

parse_result
ReadOptions(options& aOptions, int aCount, const char* const* aValues)
{
  settings& given = aOptions.settings;
  typed_values typed;
  typed.answerLimitBytes = static_cast<unsigned>(given.answerLimitBytes);
  typed.queueLimit = static_cast<unsigned>(given.queueLimit);
  typed.reservePercent =
    static_cast<unsigned>(given.takeoverReserve * kPercent);
  parser parser("currantshed-pooler",
                "Serves database groups to gateways: connections, routing, "
                "confirmation and failover.");
  Declare(parser, aOptions, typed);
  const parse_result parsed = parser.Parse(aCount, aValues);
  if (parsed.end == parse_end::kExit) {
    return parsed;
  }
  auto peers = ParsePeers(typed.peers);
  if (!peers) {
    std::cerr << "currantshed-pooler: --peers must be address:port,...\n";
    return { parse_end::kExit, kUsageExitCode };
  }
  given.bootstrapPeers = std::move(*peers);
  given.answerLimitBytes = typed.answerLimitBytes;
  given.queueLimit = typed.queueLimit;
  given.takeoverReserve = static_cast<double>(typed.reservePercent) / kPercent;
  given.incarnation = MakeIncarnation(given.self.id);
  aOptions.logLevel = ParseLevel(typed.logLevel);
  return parsed;
}

} // namespace currantshed::pooler

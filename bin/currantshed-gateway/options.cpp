#include "bin/currantshed-gateway/options.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <limits>
#include <string_view>

#include <absl/random/random.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <boost/asio/ip/address.hpp>

namespace currantshed::gateway {

namespace {

using namespace std::chrono_literals;
using settings::kUsageExitCode;
using settings::parse_end;
using settings::parse_result;
using settings::parser;

/// Raw flag values, before conversion to settings.
struct raw_values
{
  std::string pooler;
  std::string keys;
  unsigned bodyLimitBytes = 0;
  unsigned answerLimitBytes = 0;
  unsigned connectionLimit = 10000;
  unsigned inFlightLimit = 8192;
  std::string logLevel = "info";
};

void
DeclareIdentity(parser& aParser, gateway_settings& aSettings, raw_values& aRaw)
{
  aParser.Text(aSettings.vm, "vm", "Name of this VM", true);
  aParser.Text(aSettings.failureDomain,
               "failure-domain",
               "Failure domain of this VM",
               true);
  aParser.Text(aSettings.address, "address", "IP address to listen on", true);
  aParser.Port(aSettings.callerPort, "caller-port", "Port for callers", true);
  aParser.Port(aSettings.statusPort,
               "status-port",
               "Port for metrics, health and status",
               true);
  aParser.Text(aRaw.pooler,
               "pooler",
               "Request port of this VM's pooler, as address:port",
               true);
  aParser.Secret(aRaw.keys,
                 "token-keys",
                 "Keys that sign tokens, as id:hexadecimal,...; the first one "
                 "signs, all verify; must be equal at every gateway",
                 true);
}

void
DeclareLimits(parser& aParser, options& aOptions, raw_values& aRaw)
{
  constexpr unsigned kMaxThreads = 64;
  constexpr unsigned kMinBytes = 1024;
  constexpr unsigned kMaxBytes = 12 * 1024 * 1024;
  constexpr unsigned kMaxConnections = 1000000;
  gateway_settings& given = aOptions.settings;
  aParser.Count(
    given.threads, "threads", "Number of worker threads", 1, kMaxThreads);
  aParser.Milliseconds(
    given.engine.validity,
    "validity-ms",
    "Validity of a majority confirmation; the same everywhere",
    10ms,
    10s);
  aParser.Count(aRaw.bodyLimitBytes,
                "body-limit-bytes",
                "Maximum size of a request body",
                kMinBytes,
                kMaxBytes);
  aParser.Count(aRaw.answerLimitBytes,
                "answer-limit-bytes",
                "Maximum size of a result, summed over its values",
                kMinBytes,
                kMaxBytes);
  aParser.Count(aRaw.connectionLimit,
                "connection-limit",
                "Maximum number of caller connections, divided among threads",
                1,
                kMaxConnections);
  aParser.Count(aRaw.inFlightLimit,
                "in-flight-limit",
                "Maximum requests in flight, divided among threads",
                1,
                kMaxConnections);
  aParser.Milliseconds(given.drainTimeout,
                       "drain-timeout-ms",
                       "Time limit for requests in flight on shutdown",
                       0ms,
                       1h);
  aParser.Choice(aRaw.logLevel,
                 "log-level",
                 "Minimum log level",
                 { "debug", "info", "warning", "error" });
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

/// Parses `address:port`; returns false if the text is not of that form.
bool
ReadPooler(const std::string& aText, gateway_settings& aSettings)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  aSettings.poolerAddress = aText.substr(0, colon);
  unsigned port = 0;
  boost::system::error_code error;
  boost::asio::ip::make_address(aSettings.poolerAddress, error);
  const bool good = absl::SimpleAtoi(aText.substr(colon + 1), &port) &&
                    port > 0 &&
                    port <= std::numeric_limits<std::uint16_t>::max();
  aSettings.poolerPort = static_cast<std::uint16_t>(port);
  return good && !error;
}

/// Checks what the parser does not, and prints one line per error.
bool
CheckTyped(const raw_values& aRaw, gateway_settings& aSettings)
{
  bool good = true;
  if (!ReadPooler(aRaw.pooler, aSettings)) {
    std::cerr << "currantshed-gateway: --pooler must be an IP address and a "
                 "port, as 10.0.0.1:7001\n";
    good = false;
  }
  if (const auto error = aSettings.keys.Parse(aRaw.keys)) {
    std::cerr << "currantshed-gateway: --token-keys: " << error.message()
              << '\n';
    good = false;
  }
  return good;
}

void
Apply(const raw_values& aRaw, gateway_settings& aSettings)
{
  const std::size_t threads = aSettings.threads;
  const auto share = [threads](unsigned aWhole) {
    return std::max<std::size_t>(1, (aWhole + threads - 1) / threads);
  };
  aSettings.callers.bodyBytes = aRaw.bodyLimitBytes;
  aSettings.callers.connections = share(aRaw.connectionLimit);
  aSettings.engine.answerBytes = aRaw.answerLimitBytes;
  aSettings.engine.inFlightLimit = share(aRaw.inFlightLimit);
}

} // namespace

parse_result
ReadOptions(options& aOptions, int aCount, const char* const* aValues)
{
  gateway_settings& given = aOptions.settings;
  raw_values typed;
  typed.bodyLimitBytes = static_cast<unsigned>(given.callers.bodyBytes);
  typed.answerLimitBytes = static_cast<unsigned>(given.engine.answerBytes);
  parser parser("currantshed-gateway",
                "Accepts callers' requests over HTTP and forwards them to "
                "the poolers of their groups.");
  DeclareIdentity(parser, given, typed);
  DeclareLimits(parser, aOptions, typed);
  const parse_result parsed = parser.Parse(aCount, aValues);
  if (parsed.end == parse_end::kExit) {
    return parsed;
  }
  if (!CheckTyped(typed, given)) {
    return { parse_end::kExit, kUsageExitCode };
  }
  Apply(typed, given);
  absl::BitGen random;
  given.engine.seed = absl::Uniform<std::uint64_t>(random);
  aOptions.incarnation =
    absl::StrFormat("%s/%016x", given.vm, given.engine.seed);
  aOptions.logLevel = ParseLevel(typed.logLevel);
  return parsed;
}

} // namespace currantshed::gateway

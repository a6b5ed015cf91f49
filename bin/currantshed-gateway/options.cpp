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
struct typed_values
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
DeclareIdentity(parser& aParser, gateway_settings& aGiven, typed_values& aTyped)
{
  aParser.Text(aGiven.vm, "vm", "Name of this VM", true);
  aParser.Text(
    aGiven.failureDomain, "failure-domain", "Failure domain of this VM", true);
  aParser.Text(aGiven.address, "address", "IP address to listen on", true);
  aParser.Port(aGiven.callerPort, "caller-port", "Port for callers", true);
  aParser.Port(aGiven.statusPort,
               "status-port",
               "Port for metrics, health and status",
               true);
  aParser.Text(aTyped.pooler,
               "pooler",
               "Request port of this VM's pooler, as address:port",
               true);
  aParser.Secret(aTyped.keys,
                 "token-keys",
                 "Keys that sign tokens, as id:hexadecimal,...; the first one "
                 "signs, all verify; must be equal at every gateway",
                 true);
}

void
DeclareLimits(parser& aParser, options& aOptions, typed_values& aTyped)
{
  constexpr unsigned kMostThreads = 64;
  constexpr unsigned kLeastBytes = 1024;
  constexpr unsigned kMostBytes = 12 * 1024 * 1024;
  constexpr unsigned kMostConnections = 1000000;
  gateway_settings& given = aOptions.settings;
  aParser.Count(
    given.threads, "threads", "Number of worker threads", 1, kMostThreads);
  aParser.Milliseconds(
    given.engine.validity,
    "validity-ms",
    "Validity of a majority confirmation; the same everywhere",
    10ms,
    10s);
  aParser.Count(aTyped.bodyLimitBytes,
                "body-limit-bytes",
                "Maximum size of a request body",
                kLeastBytes,
                kMostBytes);
  aParser.Count(aTyped.answerLimitBytes,
                "answer-limit-bytes",
                "Maximum size of a result, summed over its values",
                kLeastBytes,
                kMostBytes);
  aParser.Count(aTyped.connectionLimit,
                "connection-limit",
                "Maximum number of caller connections, divided among threads",
                1,
                kMostConnections);
  aParser.Count(aTyped.inFlightLimit,
                "in-flight-limit",
                "Maximum requests in flight, divided among threads",
                1,
                kMostConnections);
  aParser.Milliseconds(given.drainTimeout,
                       "drain-timeout-ms",
                       "Time limit for requests in flight on shutdown",
                       0ms,
                       1h);
  aParser.Choice(aTyped.logLevel,
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
ReadPooler(const std::string& aText, gateway_settings& aGiven)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  aGiven.poolerAddress = aText.substr(0, colon);
  unsigned port = 0;
  boost::system::error_code error;
  boost::asio::ip::make_address(aGiven.poolerAddress, error);
  const bool good = absl::SimpleAtoi(aText.substr(colon + 1), &port) &&
                    port > 0 &&
                    port <= std::numeric_limits<std::uint16_t>::max();
  aGiven.poolerPort = static_cast<std::uint16_t>(port);
  return good && !error;
}

/// Checks what the parser does not, and prints one line per error.
bool
CheckTyped(const typed_values& aTyped, gateway_settings& aGiven)
{
  bool good = true;
  if (!ReadPooler(aTyped.pooler, aGiven)) {
    std::cerr << "currantshed-gateway: --pooler must be an IP address and a "
                 "port, as 10.0.0.1:7001\n";
    good = false;
  }
  if (const auto error = aGiven.keys.Parse(aTyped.keys)) {
    std::cerr << "currantshed-gateway: --token-keys: " << error.message()
              << '\n';
    good = false;
  }
  return good;
}

void
Apply(const typed_values& aTyped, gateway_settings& aGiven)
{
  const std::size_t threads = aGiven.threads;
  const auto share = [threads](unsigned aWhole) {
    return std::max<std::size_t>(1, (aWhole + threads - 1) / threads);
  };
  aGiven.callers.bodyBytes = aTyped.bodyLimitBytes;
  aGiven.callers.connections = share(aTyped.connectionLimit);
  aGiven.engine.answerBytes = aTyped.answerLimitBytes;
  aGiven.engine.inFlightLimit = share(aTyped.inFlightLimit);
}

} // namespace

parse_result
ReadOptions(options& aOptions, int aCount, const char* const* aValues)
{
  gateway_settings& given = aOptions.settings;
  typed_values typed;
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

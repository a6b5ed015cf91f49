#include "bin/currantshed-node/options.hpp"

#include <chrono>

namespace currantshed::node {

namespace {

using namespace std::chrono_literals;

void
DeclareLead(settings::parser& aParser, lead::monitor_settings& aLead)
{
  aParser.Milliseconds(
    aLead.validity,
    "proof-validity-ms",
    "Validity of a confirmation that a server is its group's primary",
    200ms,
    10s);
  aParser.Milliseconds(
    aLead.askInterval,
    "proof-interval-ms",
    "Interval between confirmations of a group that this VM monitors",
    50ms,
    5s);
  aParser.Milliseconds(aLead.askTimeout,
                       "ask-timeout-ms",
                       "Time-out of a query to a server",
                       50ms,
                       5s);
  aParser.Milliseconds(
    aLead.silentAfter,
    "silent-after-ms",
    "Time without contact after which a primary counts as lost",
    100ms,
    30s);
}

log::level
LevelOf(const std::string& aName)
{
  if (aName == "debug") {
    return log::level::kDebug;
  }
  if (aName == "warning") {
    return log::level::kWarning;
  }
  if (aName == "error") {
    return log::level::kError;
  }
  return log::level::kInfo;
}

} // namespace

settings::parse_result
ReadOptions(options& aOptions, int aCount, const char* const* aValues)
{
  settings::parser parser(
    "currantshed-node",
    "Serves callers' sessions on groups of database servers, "
    "one process per VM.");
  std::string level = "info";
  parser.Text(aOptions.settingsPath,
              "config",
              "File with the settings that the platform provides",
              true);
  parser.Choice(level,
                "log-level",
                "Minimum level of log lines",
                { "debug", "info", "warning", "error" });
  DeclareLead(parser, aOptions.lead);
  auto result = parser.Parse(aCount, aValues);
  aOptions.logLevel = LevelOf(level);
  return result;
}

} // namespace currantshed::node

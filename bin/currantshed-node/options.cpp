#include "bin/currantshed-node/options.hpp"

#include <chrono>

namespace currantshed::node {

namespace {

using namespace std::chrono_literals;

void
DeclareLead(settings::parser& aParser, lead::monitor_settings& aLead)
{
  aParser.Milliseconds(aLead.validity,
                       "proof-validity-ms",
                       "How long a proof of who leads a group holds",
                       200ms,
                       10s);
  aParser.Milliseconds(aLead.askInterval,
                       "proof-interval-ms",
                       "Time between proofs of a group that this VM watches",
                       50ms,
                       5s);
  aParser.Milliseconds(aLead.askTimeout,
                       "ask-timeout-ms",
                       "How long a server has for a question",
                       50ms,
                       5s);
  aParser.Milliseconds(aLead.silentAfter,
                       "silent-after-ms",
                       "Silence after which a primary counts as lost",
                       100ms,
                       30s);
}

log::level
LevelOf(const std::string& aWord)
{
  if (aWord == "debug") {
    return log::level::kDebug;
  }
  if (aWord == "warning") {
    return log::level::kWarning;
  }
  if (aWord == "error") {
    return log::level::kError;
  }
  return log::level::kInfo;
}

} // namespace

settings::parse_result
ReadOptions(options& aOptions, int aCount, const char* const* aValues)
{
  settings::parser parser("currantshed-node",
                          "Serves callers' sessions before groups of database "
                          "servers, one process a VM.");
  std::string level = "info";
  parser.Text(aOptions.settingsPath,
              "config",
              "File with the settings that the platform lays down",
              true);
  parser.Choice(level,
                "log-level",
                "Lowest level of lines that are written",
                { "debug", "info", "warning", "error" });
  DeclareLead(parser, aOptions.lead);
  auto result = parser.Parse(aCount, aValues);
  aOptions.logLevel = LevelOf(level);
  return result;
}

} // namespace currantshed::node

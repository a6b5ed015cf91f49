#include "bin/currantshed-load/options.hpp"

namespace currantshed::load {

namespace {

using std::chrono::milliseconds;

constexpr char kSummary[] =
  "Sends requests to gateways as callers do, checks the answers against the "
  "contents of the servers, and reports every violation.";
constexpr char kEpilogue[] =
  "Exit codes: 0 no violation, 1 a violation, 2 invalid settings, 3 the run "
  "failed.";
constexpr unsigned kHundred = 100;
constexpr unsigned kMaxThreads = 64;
constexpr unsigned kMaxSessions = 20000;
constexpr unsigned kMaxRate = 200000;
constexpr unsigned kMaxActivities = 100'000'000;
constexpr unsigned kMaxSeed = 1'000'000'000;
constexpr milliseconds kNone{ 0 };
constexpr milliseconds kMaxDuration{ 600000 };

void
AddFiles(settings::parser& aParser, options& aOptions)
{
  aParser.Text(
    aOptions.shapeFile, "shape", "shape file of the deployment", true);
  aParser.Text(aOptions.declarationFile,
               "declaration",
               "declaration file; default: the one named in the shape");
  aParser.Text(aOptions.gateways,
               "gateways",
               "comma-separated VMs whose gateways are used; default: all");
  aParser.Text(aOptions.classes,
               "classes",
               "comma-separated classes that are used; default: all");
  aParser.Text(aOptions.cuts,
               "cut",
               "primaries to cut off: comma-separated group@milliseconds");
  aParser.Text(aOptions.jsonFile, "json", "file for the summary as JSON");
  aParser.Text(aOptions.recordsFile,
               "records",
               "file for answers and changes, one JSON object per line");
  aParser.Switch(aOptions.printShape,
                 "print-shape",
                 "print the shape as lines of words and exit");
}

void
AddLoad(settings::parser& aParser, options& aOptions)
{
  aParser.Count(aOptions.threads, "threads", "threads", 1, kMaxThreads);
  aParser.Count(
    aOptions.sessions, "sessions", "callers' sessions", 1, kMaxSessions);
  aParser.Count(aOptions.ratePerSecond,
                "rate",
                "activities started per second (open loop); 0 for "
                "sessions that wait for answers (closed loop)",
                0,
                kMaxRate);
  aParser.Count(aOptions.activities,
                "activities",
                "end after this number of activities; 0 for no limit",
                0,
                kMaxActivities);
  aParser.Count(
    aOptions.readPercent, "read-percent", "percentage of reads", 0, kHundred);
  aParser.Count(aOptions.transactionPercent,
                "transaction-percent",
                "percentage of transactions",
                0,
                kHundred);
  aParser.Count(aOptions.repeatPercent,
                "repeat-percent",
                "percentage of changes repeated with the same key",
                0,
                kHundred);
  aParser.Count(aOptions.seed, "seed", "seed of random choices", 0, kMaxSeed);
}

void
AddTimes(settings::parser& aParser, options& aOptions)
{
  aParser.Milliseconds(aOptions.rest,
                       "rest-ms",
                       "pause of a session between activities",
                       kNone,
                       kMaxDuration);
  aParser.Milliseconds(aOptions.clockInterval,
                       "clock-ms",
                       "interval between writes of the counter row",
                       milliseconds(1),
                       kMaxDuration);
  aParser.Milliseconds(
    aOptions.length, "length-ms", "length of the run", kNone, kMaxDuration);
  aParser.Milliseconds(aOptions.resolveTimeout,
                       "resolve-ms",
                       "time for which a caller queries an unknown outcome",
                       kNone,
                       kMaxDuration);
}

} // namespace

settings::parse_result
ReadOptions(options& aOptions, int aCount, const char* const* aValues)
{
  settings::parser parser("currantshed-load", kSummary);
  AddFiles(parser, aOptions);
  AddLoad(parser, aOptions);
  AddTimes(parser, aOptions);
  parser.Epilogue(kEpilogue);
  return parser.Parse(aCount, aValues);
}

} // namespace currantshed::load

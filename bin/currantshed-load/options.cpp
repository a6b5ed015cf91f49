#include "bin/currantshed-load/options.hpp"

namespace currantshed::load {

namespace {

using std::chrono::milliseconds;

constexpr char kSummary[] =
  "Drives gateways as callers do, compares what callers were told with what "
  "the servers hold, and tells every breach.";
constexpr char kEpilogue[] =
  "Exit codes: 0 every promise was kept, 1 a breach, 2 wrong settings, 3 the "
  "run could not be made.";
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
  aParser.Text(aOptions.shapeFile, "shape", "file of the deployment", true);
  aParser.Text(aOptions.declarationFile,
               "declaration",
               "file of the classes; the shape's own where left out");
  aParser.Text(aOptions.gateways,
               "gateways",
               "VMs whose gateways are used, with commas between; all where "
               "left out");
  aParser.Text(aOptions.classes,
               "classes",
               "classes that are used, with commas between; all where left "
               "out");
  aParser.Text(aOptions.cuts,
               "cut",
               "primaries to cut off: group@milliseconds, with commas between");
  aParser.Text(aOptions.jsonFile, "json", "file for the summary as JSON");
  aParser.Text(aOptions.recordsFile,
               "records",
               "file for each answer and change, one JSON object a line");
  aParser.Switch(aOptions.printShape,
                 "print-shape",
                 "print the shape as lines of words, and end");
}

void
AddLoad(settings::parser& aParser, options& aOptions)
{
  aParser.Count(aOptions.threads, "threads", "threads", 1, kMaxThreads);
  aParser.Count(
    aOptions.sessions, "sessions", "callers' sessions", 1, kMaxSessions);
  aParser.Count(aOptions.ratePerSecond,
                "rate",
                "activities that begin in a second, answered or not; 0 for "
                "sessions that wait for their answers",
                0,
                kMaxRate);
  aParser.Count(aOptions.activities,
                "activities",
                "end after so many; 0 for no such bound",
                0,
                kMaxActivities);
  aParser.Count(
    aOptions.readPercent, "read-percent", "reads in 100", 0, kHundred);
  aParser.Count(aOptions.transactionPercent,
                "transaction-percent",
                "transactions in 100",
                0,
                kHundred);
  aParser.Count(aOptions.repeatPercent,
                "repeat-percent",
                "changes sent again with the same key, in 100",
                0,
                kHundred);
  aParser.Count(aOptions.seed, "seed", "seed of the choices", 0, kMaxSeed);
}

void
AddTimes(settings::parser& aParser, options& aOptions)
{
  aParser.Milliseconds(aOptions.rest,
                       "rest-ms",
                       "a session's rest between activities",
                       kNone,
                       kMaxDuration);
  aParser.Milliseconds(aOptions.clockInterval,
                       "clock-ms",
                       "time between writes of the row that dates reads",
                       milliseconds(1),
                       kMaxDuration);
  aParser.Milliseconds(
    aOptions.length, "length-ms", "length of the run", kNone, kMaxDuration);
  aParser.Milliseconds(aOptions.resolveTimeout,
                       "resolve-ms",
                       "how long a caller asks on for an outcome",
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

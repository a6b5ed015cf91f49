#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include "currantshed/load/overhead.hpp"
#include "currantshed/settings/parser.hpp"

namespace {

namespace load = currantshed::load;
namespace settings = currantshed::settings;
using std::chrono::milliseconds;

constexpr char kSummary[] =
  "Runs one statement directly on a database server and through a gateway, "
  "alternately, and compares both.";
constexpr unsigned kMaxConnections = 10000;
constexpr unsigned kMaxThreads = 64;
constexpr unsigned kMaxRounds = 100;

struct options
{
  load::overhead_plan plan;
  std::string sql = "SELECT 1";
  std::string processes;
  std::string jsonFile;
  unsigned rounds = 5;
};

settings::parse_result
ReadOptions(options& aOptions, int aCount, const char* const* aValues)
{
  load::overhead_plan& plan = aOptions.plan;
  settings::parser parser("currantshed-overhead", kSummary);
  parser.Text(
    plan.server.address, "server-address", "address of the server", true);
  parser.Port(plan.server.port, "server-port", "port of the server", true);
  parser.Text(plan.gateway.address, "gateway-address", "gateway's", true);
  parser.Port(
    plan.gateway.port, "gateway-port", "caller port of the gateway", true);
  parser.Text(plan.group, "group", "group of the server", true);
  parser.Text(plan.work, "class", "class of the statement", true);
  parser.Text(aOptions.sql, "sql", "the statement", true);
  parser.Count(plan.connections,
               "connections",
               "connections per side",
               1,
               kMaxConnections);
  parser.Count(
    plan.threads, "threads", "threads of this program", 1, kMaxThreads);
  parser.Count(aOptions.rounds, "rounds", "rounds per side", 1, kMaxRounds);
  parser.Milliseconds(plan.round,
                      "round-ms",
                      "length of a round",
                      milliseconds(100),
                      milliseconds(60000));
  parser.Text(aOptions.processes,
              "processes",
              "comma-separated ids of the processes whose CPU time is "
              "measured");
  parser.Text(aOptions.jsonFile, "json", "file for the results");
  return parser.Parse(aCount, aValues);
}

int
Run(options& aOptions)
{
  load::overhead_plan& plan = aOptions.plan;
  plan.statement.sql = aOptions.sql;
  plan.server.vm = "currantshed-overhead";
  for (const auto part :
       absl::StrSplit(aOptions.processes, ',', absl::SkipEmpty())) {
    unsigned process = 0;
    if (!absl::SimpleAtoi(part, &process)) {
      std::cerr << "a process must be given by its id\n";
      return settings::kUsageExitCode;
    }
    plan.processes.push_back(process);
  }
  std::vector<load::round_figures> direct;
  std::vector<load::round_figures> viaGateway;
  std::uint64_t failures = 0;
  for (unsigned round = 0; round < aOptions.rounds; ++round) {
    direct.push_back(load::RunDirect(plan));
    viaGateway.push_back(load::RunViaGateway(plan));
    failures += direct.back().failures + viaGateway.back().failures;
    std::cerr << "round " << round + 1 << ": direct " << direct.back().perSecond
              << "/s, through " << viaGateway.back().perSecond << "/s\n";
  }
  const std::string figures =
    load::OverheadJson(direct, viaGateway, plan.connections);
  std::cout << figures << '\n';
  if (!aOptions.jsonFile.empty()) {
    std::ofstream(aOptions.jsonFile) << figures << '\n';
  }
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int
main(int aCount, char** aValues)
{
  try {
    options chosen;
    const auto parsed = ReadOptions(chosen, aCount, aValues);
    if (parsed.end == settings::parse_end::kExit) {
      return parsed.exitCode;
    }
    return Run(chosen);
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return EXIT_FAILURE;
  }
}

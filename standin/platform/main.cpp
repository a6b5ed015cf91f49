#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "currantshed/log/log.hpp"
#include "currantshed/settings/parser.hpp"
#include "standin/platform/server.hpp"
#include "standin/platform/service.hpp"
#include "standin/platform/shape.hpp"

namespace {

namespace log = currantshed::log;
namespace settings = currantshed::settings;
namespace standin = currantshed::standin;
using std::chrono::milliseconds;

constexpr char kProgram[] = "currantshed-standin-platform";
constexpr char kSummary[] =
  "Simulates the platform's service in demos and tests: keys with "
  "compare-and-swap, watches, sessions, the lists of VMs and upstreams, and "
  "injectable faults.";
constexpr milliseconds kMaxLag{ 600000 };
constexpr unsigned kMaxRate = 1000000;

struct options
{
  std::string address = "127.0.0.1";
  std::uint16_t port = 27000;
  std::string shape;
  milliseconds listLag{ 1000 };
  unsigned writesPerSecond = 0;
  unsigned readsPerSecond = 0;
};

settings::parse_result
ReadOptions(options& aOptions, int aCount, const char* const* aValues)
{
  settings::parser parser(kProgram, kSummary);
  parser.Text(aOptions.address, "address", "IP address to listen on", true);
  parser.Port(aOptions.port, "port", "port to listen on", true);
  parser.Text(aOptions.shape, "shape", "file with the lists of the deployment");
  parser.Milliseconds(aOptions.listLag,
                      "list-lag-ms",
                      "delay until the lists show a change",
                      milliseconds(0),
                      kMaxLag);
  parser.Count(aOptions.writesPerSecond,
               "writes-per-second",
               "writes above this rate are rejected; 0 for no limit",
               0,
               kMaxRate);
  parser.Count(aOptions.readsPerSecond,
               "reads-per-second",
               "reads above this rate are rejected; 0 for no limit",
               0,
               kMaxRate);
  return parser.Parse(aCount, aValues);
}

int
Fail(const char* aEvent, const std::string& aFault)
{
  log::Write(log::level::kError, aEvent, { { "fault", aFault } });
  return EXIT_FAILURE;
}

int
Run(const options& aOptions)
{
  std::string fault;
  standin::catalog_content content;
  if (!aOptions.shape.empty() &&
      !standin::LoadShape(aOptions.shape, content, fault)) {
    return Fail("shape_refused", fault);
  }
  boost::asio::io_context loop;
  standin::service service(
    std::move(content),
    aOptions.listLag,
    { aOptions.readsPerSecond, aOptions.writesPerSecond });
  if (!standin::StartServer(
        loop, service, aOptions.address, aOptions.port, fault)) {
    return Fail("not_listening", fault);
  }
  log::Write(log::level::kInfo,
             "listening",
             { { "address", aOptions.address },
               { "port", static_cast<std::int64_t>(aOptions.port) } });
  boost::asio::signal_set signals(loop, SIGINT, SIGTERM);
  signals.async_wait([&loop](const auto&, int) { loop.stop(); });
  loop.run();
  return EXIT_SUCCESS;
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
    log::Start({ kProgram, "", "" }, log::level::kInfo);
    return Run(chosen);
  } catch (const std::exception& failure) {
    std::fputs(failure.what(), stderr);
    return EXIT_FAILURE;
  }
}

#ifndef CURRANTSHED_LOAD_OVERHEAD_HPP
#define CURRANTSHED_LOAD_OVERHEAD_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "currantshed/load/http_connection.hpp"
#include "currantshed/load/message.hpp"
#include "currantshed/upstream/endpoint.hpp"

namespace currantshed::load {

/// Plan of a comparison: one read statement, executed directly on its server,
/// and through a gateway and a pooler.
struct overhead_plan
{
  upstream::endpoint server;
  gateway_address gateway;
  std::string group;
  std::string work;
  sql_statement statement;
  /// Connections per side, each executing one statement at a time.
  unsigned connections = 1;
  unsigned threads = 1;
  std::chrono::milliseconds round{ 2000 };
  /// Ids of the processes on the path through the gateway, whose CPU time is
  /// measured.
  std::vector<unsigned> processes;
};

/// Results of one round of one side.
struct round_figures
{
  std::uint64_t statements = 0;
  std::uint64_t failures = 0;
  double perSecond = 0;
  std::chrono::microseconds p50{ 0 };
  std::chrono::microseconds p99{ 0 };
  /// CPU time of the measured processes per statement.
  std::chrono::nanoseconds processorTime{ 0 };
};

/// Runs one round directly on the server.
[[nodiscard]] round_figures
RunDirect(const overhead_plan& aPlan);

/// Runs one round through the gateway.
[[nodiscard]] round_figures
RunViaGateway(const overhead_plan& aPlan);

/// The round with the median throughput.
[[nodiscard]] round_figures
MedianRound(std::vector<round_figures> aRounds);

/// Rounds, medians and ratios of both sides as one JSON object.
[[nodiscard]] std::string
OverheadJson(const std::vector<round_figures>& aDirect,
             const std::vector<round_figures>& aViaGateway,
             unsigned aConnections);

} // namespace currantshed::load

#endif

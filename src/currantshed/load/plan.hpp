#ifndef CURRANTSHED_LOAD_PLAN_HPP
#define CURRANTSHED_LOAD_PLAN_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "currantshed/load/http_connection.hpp"
#include "currantshed/policy/work_class.hpp"

namespace currantshed::load {

/// Plan of a run. The same plan and seed produce the same requests, as far as
/// the answers are the same.
struct plan
{
  std::vector<gateway_address> gateways;
  std::vector<std::string> groups;
  std::vector<policy::work_class> classes;
  unsigned threads = 2;
  unsigned sessions = 24;
  /// Activities started per second regardless of whether earlier ones have
  /// ended (open loop); zero for sessions that continue when answered (closed
  /// loop).
  double rate = 0;
  /// Pause of a session between its activities in the closed loop.
  std::chrono::milliseconds rest{ 20 };
  /// Interval between writes of each group's counter row.
  std::chrono::milliseconds clockInterval{ 50 };
  std::chrono::milliseconds length{ 10000 };
  /// Number of activities after which a run ends early; zero for no limit.
  std::uint64_t activities = 0;
  /// Time for which a caller queries the outcome of a change whose answer did
  /// not state it.
  std::chrono::milliseconds resolveTimeout{ 10000 };
  /// Percentage of activities that only read.
  unsigned readPercent = 70;
  /// Percentage of activities that are transactions.
  unsigned transactionPercent = 10;
  /// Percentage of acknowledged changes that are repeated with the same key, as
  /// by a caller whose answer was lost.
  unsigned repeatPercent = 10;
  std::uint64_t seed = 1;
};

/// The read classes or the write classes of the plan.
[[nodiscard]] std::vector<policy::work_class>
ClassesOf(const plan& aPlan, policy::access aKind);

} // namespace currantshed::load

#endif

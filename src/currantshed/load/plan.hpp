#ifndef CURRANTSHED_LOAD_PLAN_HPP
#define CURRANTSHED_LOAD_PLAN_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "currantshed/load/http_connection.hpp"
#include "currantshed/policy/work_class.hpp"

namespace currantshed::load {

/// What a run does: the same plan and seed give the same requests, as far as
/// the answers are the same.
struct plan
{
  std::vector<gateway_address> gateways;
  std::vector<std::string> groups;
  std::vector<policy::work_class> classes;
  unsigned threads = 2;
  unsigned sessions = 24;
  /// Requests a second that begin whether or not earlier ones have ended
  /// (open loop); zero for sessions that go on when answered (closed loop).
  double rate = 0;
  /// In the closed loop, how long a session rests between its activities.
  std::chrono::milliseconds rest{ 20 };
  /// Time between the writes of each group's counted row.
  std::chrono::milliseconds clockInterval{ 50 };
  std::chrono::milliseconds length{ 10000 };
  /// Activities after which a run ends early; zero for no such bound.
  std::uint64_t activities = 0;
  /// How long a caller goes on asking for an outcome that it wasn't told.
  std::chrono::milliseconds resolveTimeout{ 10000 };
  /// Of a hundred activities, how many only read.
  unsigned readPercent = 70;
  /// Of a hundred activities, how many are transactions.
  unsigned transactionPercent = 10;
  /// Of a hundred acknowledged changes, how many are sent again with the
  /// same key, as a caller does whose answer was lost.
  unsigned repeatPercent = 10;
  std::uint64_t seed = 1;
};

/// The classes of the plan that read, or that write.
[[nodiscard]] std::vector<policy::work_class>
ClassesOf(const plan& aPlan, policy::access aKind);

} // namespace currantshed::load

#endif

#ifndef CURRANTSHED_BENCH_CONTROL_FLEET_HPP
#define CURRANTSHED_BENCH_CONTROL_FLEET_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantshed/member/membership.hpp"

namespace currantshed::control_bench {

/// VMs named and spread over failure domains as in a deployment.
[[nodiscard]] std::vector<store::vm>
MakeVms(std::size_t aCount, std::size_t aDomains);

[[nodiscard]] std::vector<group::group_name>
MakeGroups(std::size_t aCount);

/// What all rosters of a fleet did.
struct fleet_counts
{
  std::uint64_t sent = 0;
  std::uint64_t bytes = 0;
  std::uint64_t views = 0;
};

/// The rosters of a whole fleet, which send to each other in virtual time and
/// in one thread: their work, messages and bytes as in production, without
/// sockets.
class fleet
{
public:
  fleet(std::size_t aVms, std::size_t aDomains, std::size_t aGroups);

  void Run(std::chrono::milliseconds aTime);

  /// Stops every VM of one failure domain at once.
  void LoseDomain(std::size_t aDomain);

  /// Starts the stopped VMs anew, all at once.
  void Restart();

  [[nodiscard]] fleet_counts Counts() const;

private:
  void Start(std::size_t aNumber);
  void Send(std::size_t aNumber);

  clock::time_point mNow{ std::chrono::seconds{ 1 } };
  std::size_t mDomains;
  std::vector<store::vm> mVms;
  std::vector<group::group_name> mGroups;
  absl::flat_hash_map<std::string, std::size_t> mNumbers;
  std::vector<std::unique_ptr<member::membership>> mMemberships;
  std::vector<bool> mRuns;
  fleet_counts mCounts;
  std::uint64_t mStarts = 0;
};

} // namespace currantshed::control_bench

#endif

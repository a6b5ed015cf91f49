#include "currantshed/node/feeders.hpp"

#include <utility>

#include "currantshed/member/roster.hpp"

namespace currantshed::node {

namespace {

// Two, so that one that dies, hangs or loses its way to the store leaves one.
constexpr unsigned kFeeders = 2;

} // namespace

std::vector<std::string>
Feeders(const own_keys& aKeys, const std::string& aFailureDomain)
{
  std::vector<store::vm> candidates;
  for (const auto& [name, one] : aKeys.vms) {
    if (one.record.failureDomain == aFailureDomain && !one.record.leaving) {
      store::vm candidate;
      candidate.id = name;
      candidate.failureDomain = aFailureDomain;
      candidates.push_back(std::move(candidate));
    }
  }
  std::vector<std::string> feeders;
  if (candidates.size() < kFewestFed) {
    return feeders;
  }
  const auto chosen =
    member::ChooseOwners("feeders of " + aFailureDomain, candidates, kFeeders);
  for (const auto& one : chosen) {
    feeders.push_back(one.id);
  }
  return feeders;
}

} // namespace currantshed::node

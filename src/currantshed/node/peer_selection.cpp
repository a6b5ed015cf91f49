#include "currantshed/node/peer_selection.hpp"

#include <algorithm>

#include "currantshed/news/exchange.hpp"

namespace currantshed::node {

std::vector<std::string>
SelectRoundRobin(const std::vector<news::peer>& aPeers,
                 std::size_t aCount,
                 std::size_t aTurn)
{
  std::vector<std::string> chosen;
  const auto count = std::min(aCount, aPeers.size());
  for (std::size_t i = 0; i < count; ++i) {
    chosen.push_back(aPeers[(aTurn * count + i) % aPeers.size()].vm);
  }
  return chosen;
}

void
AppendMissing(std::vector<std::string>& aNames,
              const std::vector<std::string>& aOthers)
{
  for (const auto& one : aOthers) {
    if (std::find(aNames.begin(), aNames.end(), one) == aNames.end()) {
      aNames.push_back(one);
    }
  }
}

poll_plan
PlanPoll(const path_state& aState) noexcept
{
  const bool areForwardersCutOff =
    aState.hasForwarders && !aState.isForwarded && aState.isStoreFailing;
  const bool isCutOffForwarder = aState.isForwarder && aState.isStoreFailing;
  return { aState.hasForwarders,
           areForwardersCutOff || isCutOffForwarder ||
             aState.lacksVerification };
}

} // namespace currantshed::node

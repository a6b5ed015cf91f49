#include "currantshed/customer/token_cache.hpp"

#include <algorithm>

namespace currantshed::customer {

void
token_cache::Put(const std::string& aCustomer,
                 unsigned aCount,
                 clock::time_point aAskedAt)
{
  if (aCount == 0) {
    return;
  }
  auto& batches = mBatches[aCustomer];
  const auto after =
    std::upper_bound(batches.begin(),
                     batches.end(),
                     aAskedAt,
                     [](clock::time_point aAt, const batch& aBatch) {
                       return aAt < aBatch.askedAt;
                     });
  batches.insert(after, { aCount, aAskedAt });
}

std::optional<clock::time_point>
token_cache::Take(const std::string& aCustomer, clock::time_point aNow)
{
  const auto found = mBatches.find(aCustomer);
  if (found == mBatches.end()) {
    return std::nullopt;
  }
  auto& batches = found->second;
  while (!batches.empty() && aNow >= batches.front().askedAt + kTokenLifetime) {
    batches.pop_front();
  }
  if (batches.empty()) {
    mBatches.erase(found);
    return std::nullopt;
  }
  const auto askedAt = batches.front().askedAt;
  if (--batches.front().count == 0) {
    batches.pop_front();
  }
  return askedAt;
}

} // namespace currantshed::customer

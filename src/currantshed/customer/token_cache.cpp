#include "currantshed/customer/token_cache.hpp"

#include <chrono>

namespace currantshed::customer {

namespace {

// What is not used by then is lost: asking takes a few milliseconds.
constexpr std::chrono::milliseconds kLife{ 500 };

} // namespace

void
token_cache::Put(const std::string& aCustomer,
                 unsigned aCount,
                 clock::time_point aAskedAt)
{
  if (aCount > 0) {
    mBatches[aCustomer].push_back({ aCount, aAskedAt });
  }
}

bool
token_cache::Take(const std::string& aCustomer, clock::time_point aNow)
{
  const auto found = mBatches.find(aCustomer);
  if (found == mBatches.end()) {
    return false;
  }
  auto& batches = found->second;
  while (!batches.empty() && aNow >= batches.front().askedAt + kLife) {
    batches.pop_front();
  }
  if (batches.empty()) {
    mBatches.erase(found);
    return false;
  }
  if (--batches.front().count == 0) {
    batches.pop_front();
  }
  return true;
}

} // namespace currantshed::customer

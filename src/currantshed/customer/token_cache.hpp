#ifndef CURRANTSHED_CUSTOMER_TOKEN_CACHE_HPP
#define CURRANTSHED_CUSTOMER_TOKEN_CACHE_HPP

#include <deque>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "currantshed/clock/time.hpp"

namespace currantshed::customer {

/// Tokens granted to this VM that it has not used. They expire shortly after
/// they were requested, so that a VM that was paused has none left: by then the
/// quota coordinator counts them as used. Does not read the clock.
class token_cache
{
public:
  void Put(const std::string& aCustomer,
           unsigned aCount,
           clock::time_point aAskedAt);

  /// Takes one token. Returns false if there is none.
  [[nodiscard]] bool Take(const std::string& aCustomer, clock::time_point aNow);

private:
  struct batch
  {
    unsigned count = 0;
    clock::time_point askedAt;
  };

  absl::flat_hash_map<std::string, std::deque<batch>> mBatches;
};

} // namespace currantshed::customer

#endif

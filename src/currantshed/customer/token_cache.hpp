#ifndef CURRANTSHED_CUSTOMER_TOKEN_CACHE_HPP
#define CURRANTSHED_CUSTOMER_TOKEN_CACHE_HPP

#include <deque>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "currantshed/clock/time.hpp"

namespace currantshed::customer {

/// The tokens that this VM was granted and has not used. They are good for a
/// moment from when they were asked for, so that a VM that stood still has none
/// left: those who granted them have counted them as used long ago. Asks for no
/// time.
class token_cache
{
public:
  void Put(const std::string& aCustomer,
           unsigned aCount,
           clock::time_point aAskedAt);

  /// Takes one token, if there is one.
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

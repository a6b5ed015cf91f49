#include "currantshed/customer/partition.hpp"

#include <xxhash.h>

namespace currantshed::customer {

std::size_t
PartitionOf(const std::string& aCustomer)
{
  return XXH3_64bits(aCustomer.data(), aCustomer.size()) % kPartitions;
}

} // namespace currantshed::customer

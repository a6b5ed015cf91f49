#include "currantshed/customer/part.hpp"

#include <xxhash.h>

namespace currantshed::customer {

std::size_t
PartOf(const std::string& aCustomer)
{
  return XXH3_64bits(aCustomer.data(), aCustomer.size()) % kParts;
}

} // namespace currantshed::customer

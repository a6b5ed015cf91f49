#ifndef CURRANTSHED_CUSTOMER_PARTITION_HPP
#define CURRANTSHED_CUSTOMER_PARTITION_HPP

#include <cstddef>
#include <string>

namespace currantshed::customer {

/// Customers fall into so many parts, each collected by one VM of a failure
/// domain, so that none has to collect for all: the same for every VM.
constexpr std::size_t kPartitions = 16;

/// The part that the customer belongs to.
[[nodiscard]] std::size_t
PartitionOf(const std::string& aCustomer);

} // namespace currantshed::customer

#endif

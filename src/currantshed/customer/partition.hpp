#ifndef CURRANTSHED_CUSTOMER_PARTITION_HPP
#define CURRANTSHED_CUSTOMER_PARTITION_HPP

#include <cstddef>
#include <string>

namespace currantshed::customer {

/// Number of partitions of the customers. In each failure domain one VM
/// collects the accrual time of a partition, so that no VM does so for all
/// customers. Must be the same at all VMs.
constexpr std::size_t kPartitions = 16;

/// The partition that the customer belongs to.
[[nodiscard]] std::size_t
PartitionOf(const std::string& aCustomer);

} // namespace currantshed::customer

#endif

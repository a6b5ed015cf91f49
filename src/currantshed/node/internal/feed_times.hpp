#ifndef CURRANTSHED_NODE_INTERNAL_FEED_TIMES_HPP
#define CURRANTSHED_NODE_INTERNAL_FEED_TIMES_HPP

#include <chrono>
#include <cstddef>

namespace currantshed::node::internal {

/// How long after its start a VM looks for others that follow the store for it,
/// before it begins to follow what it has read by itself.
constexpr std::chrono::milliseconds kFeederSearch{ 2500 };

/// The number of the configuration's keys in messages.
constexpr std::size_t kConfigurationNumber = 0;

} // namespace currantshed::node::internal

#endif

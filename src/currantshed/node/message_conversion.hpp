#ifndef CURRANTSHED_NODE_MESSAGE_CONVERSION_HPP
#define CURRANTSHED_NODE_MESSAGE_CONVERSION_HPP

#include <array>
#include <cstdint>
#include <string>

#include "currantshed/lead/group_monitor.hpp"
#include "currantshed/news/exchange.hpp"
#include "currantshed/store/key_value.hpp"

namespace currantshed::node {

/// Writes what a VM says of a group that it watches into a message.
void
Fill(news::Watch& aOut,
     const std::string& aService,
     const lead::watch_update& aNews);

/// Writes what a VM says of its own way to a group's primary into a message.
void
Fill(news::Reach& aOut,
     const std::string& aService,
     const lead::reach_update& aNews);

/// Reads what a VM that watches a group said; times become those of this VM.
[[nodiscard]] lead::watch_update
ReadWatch(const news::Watch& aWatch,
          const news::exchange::clock_converter& aClock);

/// Reads what a VM said of its way to a primary, in a message sent at the given
/// time of the sender's clock.
[[nodiscard]] lead::reach_update
ReadReach(const news::Reach& aReach,
          std::int64_t aSentAt,
          const news::exchange::clock_converter& aClock);

/// The newest changes that the sender has seen of each followed prefix, in the
/// order of their numbers in messages.
[[nodiscard]] std::array<store::revision, 3>
ReadChanges(const news::News& aNews);

} // namespace currantshed::node

#endif

#ifndef CURRANTSHED_NODE_MESSAGE_CONVERSION_HPP
#define CURRANTSHED_NODE_MESSAGE_CONVERSION_HPP

#include <array>
#include <cstdint>
#include <string>

#include "currantshed/lead/group_monitor.hpp"
#include "currantshed/news/exchange.hpp"
#include "currantshed/store/key_value.hpp"

namespace currantshed::node {

/// Writes the watch update of a group into a message.
void
Fill(news::Watch& aOut,
     const std::string& aService,
     const lead::watch_update& aUpdate);

/// Writes this VM's reach update on a group's primary into a message.
void
Fill(news::Reach& aOut,
     const std::string& aService,
     const lead::reach_update& aUpdate);

/// Reads a watch update; timestamps are converted to this VM's clock.
[[nodiscard]] lead::watch_update
ReadWatch(const news::Watch& aWatch,
          const news::exchange::clock_converter& aClock);

/// Reads a reach update from a message that was sent at the given time of the
/// sender's clock.
[[nodiscard]] lead::reach_update
ReadReach(const news::Reach& aReach,
          std::int64_t aSentAt,
          const news::exchange::clock_converter& aClock);

/// Reads the newest revisions that the sender has seen of each followed prefix,
/// in the order of the prefixes' numbers.
[[nodiscard]] std::array<store::revision, 3>
ReadRevisions(const news::News& aMessage);

} // namespace currantshed::node

#endif

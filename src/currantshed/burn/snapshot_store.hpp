#ifndef CURRANTSHED_BURN_SNAPSHOT_STORE_HPP
#define CURRANTSHED_BURN_SNAPSHOT_STORE_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "currantshed/burn/snapshot.hpp"

namespace currantshed::burn {

/// Name of a snapshot's file: the time in milliseconds since 1970, a dash and
/// the target, as 1700000000000-127.0.0.1:24001.prom.
[[nodiscard]] std::string
FileNameOf(const std::string& aTarget, clock::wall_time aTime);

/// Target and time out of a file's name; none for any other file.
[[nodiscard]] std::optional<snapshot>
ReadFileName(std::string_view aName);

/// Reads all snapshots of a folder that are not older than the longest window
/// before the newest one. Files with other names are passed over; none if the
/// folder can't be read.
[[nodiscard]] std::optional<std::vector<snapshot>>
LoadSnapshots(const std::string& aFolder);

/// Writes one gateway's metrics into the folder, which is made where there is
/// none; false if that fails.
[[nodiscard]] bool
SaveSnapshot(const std::string& aFolder,
             const std::string& aTarget,
             clock::wall_time aTime,
             const std::string& aMetrics);

} // namespace currantshed::burn

#endif

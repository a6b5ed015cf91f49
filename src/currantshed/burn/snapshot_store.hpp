#ifndef CURRANTSHED_BURN_SNAPSHOT_STORE_HPP
#define CURRANTSHED_BURN_SNAPSHOT_STORE_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "currantshed/burn/snapshot.hpp"

namespace currantshed::burn {

/// File name of a snapshot: the time in milliseconds since 1970, a dash and the
/// target, such as 1700000000000-127.0.0.1:24001.prom.
[[nodiscard]] std::string
FileNameOf(const std::string& aTarget, clock::wall_time aTime);

/// Parses target and time from a file name; none for any other file.
[[nodiscard]] std::optional<snapshot>
ReadFileName(std::string_view aName);

/// Loads the snapshots of a directory that are at most twice the longest window
/// older than the newest one. Files with other names are ignored; none if the
/// directory cannot be read.
[[nodiscard]] std::optional<std::vector<snapshot>>
LoadSnapshots(const std::string& aFolder);

/// Writes the metrics of one gateway to the directory, which is created if
/// missing; returns false on failure.
[[nodiscard]] bool
SaveSnapshot(const std::string& aFolder,
             const std::string& aTarget,
             clock::wall_time aTime,
             const std::string& aMetrics);

} // namespace currantshed::burn

#endif

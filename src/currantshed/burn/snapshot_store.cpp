#include "currantshed/burn/snapshot_store.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include "currantshed/burn/report.hpp"

namespace currantshed::burn {
namespace {

namespace files = std::filesystem;

constexpr std::string_view kSuffix = ".prom";

/// A snapshot file that has not been loaded yet.
struct named_file
{
  snapshot head;
  files::path path;
};

/// Lists the snapshot files of a directory; none if it cannot be read.
std::optional<std::vector<named_file>>
ListFolder(const std::string& aFolder)
{
  std::error_code error;
  files::directory_iterator place(aFolder, error);
  std::vector<named_file> found;
  while (!error && place != files::directory_iterator()) {
    auto head = ReadFileName(place->path().filename().string());
    if (head) {
      found.push_back({ std::move(*head), place->path() });
    }
    place.increment(error);
  }
  if (error) {
    return std::nullopt;
  }
  return found;
}

std::string
ReadFile(const files::path& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(file),
           std::istreambuf_iterator<char>() };
}

} // namespace

std::string
FileNameOf(const std::string& aTarget, clock::wall_time aTime)
{
  const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
    aTime.time_since_epoch());
  return absl::StrCat(time.count(),
                      "-",
                      absl::StrReplaceAll(aTarget, { { "/", "_" } }),
                      std::string(kSuffix));
}

std::optional<snapshot>
ReadFileName(std::string_view aName)
{
  const auto dash = aName.find('-');
  if (dash == std::string_view::npos || !aName.ends_with(kSuffix)) {
    return std::nullopt;
  }
  std::int64_t time = 0;
  const auto target =
    aName.substr(dash + 1, aName.size() - dash - 1 - kSuffix.size());
  if (!absl::SimpleAtoi(std::string(aName.substr(0, dash)), &time) ||
      target.empty()) {
    return std::nullopt;
  }
  snapshot result;
  result.target = std::string(target);
  result.time = clock::wall_time(std::chrono::milliseconds(time));
  return result;
}

std::optional<std::vector<snapshot>>
LoadSnapshots(const std::string& aFolder)
{
  auto found = ListFolder(aFolder);
  if (!found) {
    return std::nullopt;
  }
  clock::wall_time newest;
  for (const auto& one : *found) {
    newest = std::max(newest, one.head.time);
  }
  // Loads data for twice the longest window, so that this window is fully
  // covered.
  const auto oldest = newest - 2 * std::chrono::seconds(*std::rbegin(kWindows));
  std::vector<snapshot> snapshots;
  for (auto& one : *found) {
    if (one.head.time >= oldest) {
      one.head.classes = ReadCounters(ReadFile(one.path));
      snapshots.push_back(std::move(one.head));
    }
  }
  return snapshots;
}

bool
SaveSnapshot(const std::string& aFolder,
             const std::string& aTarget,
             clock::wall_time aTime,
             const std::string& aMetrics)
{
  std::error_code ignored;
  files::create_directories(aFolder, ignored);
  const files::path name = files::path(aFolder) / FileNameOf(aTarget, aTime);
  const files::path part = name.string() + ".part";
  std::ofstream file(part, std::ios::binary);
  file << aMetrics;
  file.close();
  if (!file) {
    return false;
  }
  std::error_code error;
  files::rename(part, name, error);
  return !error;
}

} // namespace currantshed::burn

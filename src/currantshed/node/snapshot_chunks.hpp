#ifndef CURRANTSHED_NODE_SNAPSHOT_CHUNKS_HPP
#define CURRANTSHED_NODE_SNAPSHOT_CHUNKS_HPP

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "currantshed/clock/time.hpp"
#include "currantshed/store/key_value.hpp"

namespace currantshed::node {

/// A chunk of a snapshot of all keys below one prefix, or the request for a
/// chunk.
struct snapshot_chunk
{
  /// The revision of the snapshot; zero in a first request.
  store::revision revision;
  std::size_t offset = 0;
  /// Size of the whole snapshot in bytes.
  std::size_t totalBytes = 0;
  std::string data;
};

/// Splits snapshots that are too large for one message into chunks, for many
/// VMs that request them at the same time. Does not read the clock and does no
/// I/O.
class snapshot_splitter
{
public:
  using snapshot_factory = std::function<std::string()>;

  /// Returns the requested chunk, of at most aMaxBytes bytes. If the requested
  /// snapshot is no longer kept, returns the first chunk of the newest one. A
  /// snapshot is shared by all requests that begin within a short time; later
  /// changes are requested separately.
  [[nodiscard]] snapshot_chunk GetChunk(const snapshot_chunk& aRequested,
                                        std::size_t aMaxBytes,
                                        store::revision aNewest,
                                        clock::time_point aNow,
                                        const snapshot_factory& aMakeSnapshot);

  /// Number of snapshots made so far, as a measure of work.
  [[nodiscard]] std::size_t SnapshotsMade() const noexcept
  {
    return mSnapshotsMade;
  }

private:
  struct snapshot
  {
    store::revision revision;
    std::string bytes;
    clock::time_point madeAt;
    clock::time_point requestedAt;
  };

  [[nodiscard]] snapshot* Find(store::revision aRevision);
  snapshot& Newest(store::revision aNewest,
                   clock::time_point aNow,
                   const snapshot_factory& aMakeSnapshot);
  void RemoveUnused(clock::time_point aNow);

  std::deque<snapshot> mSnapshots;
  std::size_t mSnapshotsMade = 0;
};

/// Timeouts for the next chunk and for the whole snapshot.
struct transfer_timeouts
{
  std::chrono::milliseconds chunk{ 400 };
  std::chrono::milliseconds total{ 1200 };
};

/// Assembles a snapshot from chunks, which come from one VM, one after the
/// other. Does not read the clock and does no I/O.
class snapshot_assembler
{
public:
  explicit snapshot_assembler(transfer_timeouts aTimeouts = {})
    : mTimeouts(aTimeouts)
  {
  }

  /// Begins a transfer from the VM, unless one is in progress or the last
  /// snapshot was completed less than the pause ago. Returns whether it has
  /// begun.
  bool Begin(const std::string& aVm,
             clock::time_point aNow,
             std::chrono::milliseconds aPause = {});

  /// The next chunk to request.
  [[nodiscard]] snapshot_chunk NextRequest() const;

  /// Adds a chunk. Returns the snapshot once it is complete.
  std::optional<std::string> AddChunk(const std::string& aVm,
                                      const snapshot_chunk& aChunk,
                                      clock::time_point aNow);

  /// Whether a transfer is in progress. It ends when a chunk does not arrive in
  /// time or when the whole transfer takes too long.
  [[nodiscard]] bool IsInProgress(clock::time_point aNow) const;
  [[nodiscard]] bool IsFrom(const std::string& aVm) const
  {
    return mSource == aVm;
  }

  /// Bytes of a transfer that has begun and is not complete.
  [[nodiscard]] std::size_t PartialBytes() const noexcept
  {
    return mBytes.size();
  }

  /// Deadline of the next chunk.
  [[nodiscard]] clock::time_point Deadline() const noexcept
  {
    return mDeadline;
  }

private:
  transfer_timeouts mTimeouts;
  std::string mSource;
  store::revision mRevision;
  std::string mBytes;
  std::optional<clock::time_point> mCompletedAt;
  clock::time_point mStartedAt{};
  clock::time_point mDeadline{};
};

} // namespace currantshed::node

#endif

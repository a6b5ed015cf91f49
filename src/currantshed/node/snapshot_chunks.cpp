#include "currantshed/node/snapshot_chunks.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// How long a snapshot is used for VMs that begin to request one.
constexpr milliseconds kSnapshotLife{ 300 };
// VMs that began with an earlier snapshot also finish with it: a transfer that
// starts again with each version completes none while versions come quickly.
constexpr std::size_t kMaxSnapshots = 4;
constexpr milliseconds kUnusedSnapshotLife{ 1000 };

} // namespace

snapshot_chunk
snapshot_splitter::GetChunk(const snapshot_chunk& aRequested,
                            std::size_t aMaxBytes,
                            store::revision aNewest,
                            clock::time_point aNow,
                            const snapshot_factory& aMakeSnapshot)
{
  auto* kept = aRequested.offset > 0 ? Find(aRequested.revision) : nullptr;
  auto& snapshot =
    kept != nullptr ? *kept : Newest(aNewest, aNow, aMakeSnapshot);
  snapshot.requestedAt = aNow;
  snapshot_chunk chunk;
  chunk.revision = snapshot.revision;
  chunk.totalBytes = snapshot.bytes.size();
  chunk.offset =
    kept != nullptr ? std::min(aRequested.offset, chunk.totalBytes) : 0;
  chunk.data = snapshot.bytes.substr(chunk.offset, aMaxBytes);
  return chunk;
}

snapshot_splitter::snapshot*
snapshot_splitter::Find(store::revision aRevision)
{
  const auto found = std::find_if(
    mSnapshots.begin(), mSnapshots.end(), [aRevision](const auto& aSnapshot) {
      return aSnapshot.revision == aRevision;
    });
  return found == mSnapshots.end() ? nullptr : &*found;
}

snapshot_splitter::snapshot&
snapshot_splitter::Newest(store::revision aNewest,
                          clock::time_point aNow,
                          const snapshot_factory& aMakeSnapshot)
{
  const bool serves =
    !mSnapshots.empty() && (mSnapshots.back().revision == aNewest ||
                            (mSnapshots.back().revision.era == aNewest.era &&
                             aNow < mSnapshots.back().madeAt + kSnapshotLife));
  if (!serves) {
    ++mSnapshotsMade;
    RemoveUnused(aNow);
    mSnapshots.push_back({ aNewest, aMakeSnapshot(), aNow, aNow });
  }
  return mSnapshots.back();
}

void
snapshot_splitter::RemoveUnused(clock::time_point aNow)
{
  std::erase_if(mSnapshots, [aNow](const auto& aSnapshot) {
    return aNow - aSnapshot.requestedAt >= kUnusedSnapshotLife;
  });
  if (mSnapshots.size() == kMaxSnapshots) {
    mSnapshots.pop_front();
  }
}

bool
snapshot_assembler::Begin(const std::string& aVm,
                          clock::time_point aNow,
                          milliseconds aPause)
{
  const bool isPausing = mCompletedAt && aNow < *mCompletedAt + aPause;
  if (IsInProgress(aNow) || isPausing) {
    return false;
  }
  mSource = aVm;
  mRevision = {};
  mBytes.clear();
  mStartedAt = aNow;
  mDeadline = aNow + mTimeouts.chunk;
  return true;
}

snapshot_chunk
snapshot_assembler::NextRequest() const
{
  return { mRevision, mBytes.size(), 0, {} };
}

std::optional<std::string>
snapshot_assembler::AddChunk(const std::string& aVm,
                             const snapshot_chunk& aChunk,
                             clock::time_point aNow)
{
  if (!IsInProgress(aNow) || aVm != mSource) {
    return std::nullopt;
  }
  if (aChunk.offset == 0) {
    mRevision = aChunk.revision;
    mBytes.clear();
  }
  if (aChunk.revision != mRevision || aChunk.offset != mBytes.size()) {
    return std::nullopt;
  }
  mBytes += aChunk.data;
  mDeadline = std::min(aNow + mTimeouts.chunk, mStartedAt + mTimeouts.total);
  if (mBytes.size() < aChunk.totalBytes) {
    return std::nullopt;
  }
  mDeadline = {};
  mCompletedAt = aNow;
  return std::exchange(mBytes, {});
}

bool
snapshot_assembler::IsInProgress(clock::time_point aNow) const
{
  return aNow < mDeadline;
}

} // namespace currantshed::node

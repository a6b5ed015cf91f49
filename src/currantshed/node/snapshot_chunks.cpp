#include "currantshed/node/snapshot_chunks.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// How long a copy serves VMs that begin to ask.
constexpr milliseconds kCopyLife{ 300 };
// VMs that began with the copy before the newest one end with it.
constexpr std::size_t kMostCopies = 2;
// How long the next part is waited for, and all of them.
constexpr milliseconds kPartPatience{ 400 };
constexpr milliseconds kPatience{ 1200 };

} // namespace

snapshot_chunk
snapshot_splitter::GetChunk(const snapshot_chunk& aAsked,
                            std::size_t aLongest,
                            store::revision aNewest,
                            clock::time_point aNow,
                            const snapshot_factory& aMake)
{
  const auto* kept = aAsked.from > 0 ? Find(aAsked.of) : nullptr;
  const auto& copy = kept != nullptr ? *kept : Newest(aNewest, aNow, aMake);
  snapshot_chunk part;
  part.of = copy.of;
  part.length = copy.bytes.size();
  part.from = kept != nullptr ? std::min(aAsked.from, part.length) : 0;
  part.content = copy.bytes.substr(part.from, aLongest);
  return part;
}

const snapshot_splitter::copy*
snapshot_splitter::Find(store::revision aOf) const
{
  const auto found =
    std::find_if(mCopies.begin(), mCopies.end(), [aOf](const auto& aCopy) {
      return aCopy.of == aOf;
    });
  return found == mCopies.end() ? nullptr : &*found;
}

const snapshot_splitter::copy&
snapshot_splitter::Newest(store::revision aNewest,
                          clock::time_point aNow,
                          const snapshot_factory& aMake)
{
  const bool serves =
    !mCopies.empty() && (mCopies.back().of == aNewest ||
                         (mCopies.back().of.era == aNewest.era &&
                          aNow < mCopies.back().madeAt + kCopyLife));
  if (!serves) {
    ++mMade;
    mCopies.push_back({ aNewest, aMake(), aNow });
    if (mCopies.size() > kMostCopies) {
      mCopies.pop_front();
    }
  }
  return mCopies.back();
}

bool
snapshot_assembler::Begin(const std::string& aVm, clock::time_point aNow)
{
  if (IsInProgress(aNow)) {
    return false;
  }
  mFrom = aVm;
  mOf = {};
  mBytes.clear();
  mBegunAt = aNow;
  mUntil = aNow + kPartPatience;
  return true;
}

snapshot_chunk
snapshot_assembler::Wanted() const
{
  return { mOf, mBytes.size(), 0, {} };
}

std::optional<std::string>
snapshot_assembler::Take(const std::string& aVm,
                         const snapshot_chunk& aPart,
                         clock::time_point aNow)
{
  if (!IsInProgress(aNow) || aVm != mFrom) {
    return std::nullopt;
  }
  if (aPart.from == 0) {
    mOf = aPart.of;
    mBytes.clear();
  }
  if (aPart.of != mOf || aPart.from != mBytes.size()) {
    return std::nullopt;
  }
  mBytes += aPart.content;
  mUntil = std::min(aNow + kPartPatience, mBegunAt + kPatience);
  if (mBytes.size() < aPart.length) {
    return std::nullopt;
  }
  mUntil = {};
  return std::exchange(mBytes, {});
}

bool
snapshot_assembler::IsInProgress(clock::time_point aNow) const
{
  return aNow < mUntil;
}

} // namespace currantshed::node

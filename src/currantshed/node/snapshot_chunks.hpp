#ifndef CURRANTSHED_NODE_SNAPSHOT_CHUNKS_HPP
#define CURRANTSHED_NODE_SNAPSHOT_CHUNKS_HPP

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "currantshed/clock/time.hpp"
#include "currantshed/store/key_value.hpp"

namespace currantshed::node {

/// A piece of a copy of all keys below one prefix, or the question for it.
struct snapshot_chunk
{
  /// The state of the store that the copy is of; none in a first question.
  store::revision of;
  std::size_t from = 0;
  /// Of the whole copy.
  std::size_t length = 0;
  std::string content;
};

/// Cuts copies of keys that are too long for one message into parts, for many
/// VMs that ask at the same time. Asks for no time and does no I/O.
class snapshot_splitter
{
public:
  using snapshot_factory = std::function<std::string()>;

  /// The part that was asked for, of at most so many bytes. One of a copy that
  /// is not kept any longer is answered by the beginning of the newest. A copy
  /// serves all that begin within a moment: what has changed since it was made
  /// is asked for afterwards.
  [[nodiscard]] snapshot_chunk GetChunk(const snapshot_chunk& aAsked,
                                        std::size_t aLongest,
                                        store::revision aNewest,
                                        clock::time_point aNow,
                                        const snapshot_factory& aMake);

  /// Copies that were made; counts work.
  [[nodiscard]] std::size_t SnapshotsMade() const noexcept { return mMade; }

private:
  struct copy
  {
    store::revision of;
    std::string bytes;
    clock::time_point madeAt;
  };

  [[nodiscard]] const copy* Find(store::revision aOf) const;
  const copy& Newest(store::revision aNewest,
                     clock::time_point aNow,
                     const snapshot_factory& aMake);

  std::deque<copy> mCopies;
  std::size_t mMade = 0;
};

/// Puts the parts of a copy together, which come from one VM, one after the
/// other. Asks for no time and does no I/O.
class snapshot_assembler
{
public:
  /// Begins to collect from the VM, unless a copy is on its way already.
  /// Returns whether it has begun.
  bool Begin(const std::string& aVm, clock::time_point aNow);

  /// What to ask for next.
  [[nodiscard]] snapshot_chunk Wanted() const;

  /// Takes a part over. Returns the copy once it is whole.
  std::optional<std::string> Take(const std::string& aVm,
                                  const snapshot_chunk& aPart,
                                  clock::time_point aNow);

  /// Whether parts are on their way from the VM; not any longer when they stay
  /// away, or when all of them take too long.
  [[nodiscard]] bool IsInProgress(clock::time_point aNow) const;
  [[nodiscard]] bool IsFrom(const std::string& aVm) const
  {
    return mFrom == aVm;
  }

  /// Until when the next part is waited for.
  [[nodiscard]] clock::time_point Until() const noexcept { return mUntil; }

private:
  std::string mFrom;
  store::revision mOf;
  std::string mBytes;
  clock::time_point mBegunAt{};
  clock::time_point mUntil{};
};

} // namespace currantshed::node

#endif

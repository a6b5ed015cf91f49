#include "currantshed/session/position_vector.hpp"

#include <algorithm>

#include <xxhash.h>

#include "currantshed/session/error.hpp"

namespace currantshed::session {

namespace {

constexpr unsigned char kOverflowed = 1;
constexpr std::size_t kHashBytes = 8;
constexpr unsigned kByteBits = 8;
constexpr unsigned kVarintBits = 7;
constexpr unsigned kVarintMore = 0x80;
constexpr unsigned kVarintMask = 0x7f;
constexpr unsigned kWordBits = 64;
/// The highest shift at which one more varint byte still fits the word.
constexpr unsigned kLastShift = 63;

std::uint64_t
HashOf(std::string_view aGroup) noexcept
{
  return XXH3_64bits(aGroup.data(), aGroup.size());
}

void
PutWord(std::string& aBytes, std::uint64_t aWord)
{
  for (unsigned shift = 0; shift < kWordBits; shift += kByteBits) {
    aBytes.push_back(static_cast<char>(aWord >> shift));
  }
}

void
PutVarint(std::string& aBytes, std::uint64_t aValue)
{
  while (aValue >= kVarintMore) {
    aBytes.push_back(static_cast<char>((aValue & kVarintMask) | kVarintMore));
    aValue >>= kVarintBits;
  }
  aBytes.push_back(static_cast<char>(aValue));
}

/// Takes values off the front of a text; each call is false when there is
/// none.
class reader
{
public:
  explicit reader(std::string_view aBytes)
    : mBytes(aBytes)
  {
  }

  bool Byte(unsigned char& aByte)
  {
    if (mBytes.empty()) {
      return false;
    }
    aByte = static_cast<unsigned char>(mBytes.front());
    mBytes.remove_prefix(1);
    return true;
  }

  bool Word(std::uint64_t& aWord)
  {
    aWord = 0;
    for (std::size_t at = 0; at < kHashBytes; ++at) {
      unsigned char byte = 0;
      if (!Byte(byte)) {
        return false;
      }
      aWord |= static_cast<std::uint64_t>(byte) << (at * kByteBits);
    }
    return true;
  }

  bool Varint(std::uint64_t& aValue)
  {
    aValue = 0;
    for (unsigned shift = 0; shift <= kLastShift; shift += kVarintBits) {
      unsigned char byte = 0;
      if (!Byte(byte) || (shift == kLastShift && byte > 1)) {
        return false;
      }
      aValue |= static_cast<std::uint64_t>(byte & kVarintMask) << shift;
      if ((byte & kVarintMore) == 0) {
        return true;
      }
    }
    return false;
  }

  [[nodiscard]] bool empty() const noexcept { return mBytes.empty(); }

private:
  std::string_view mBytes;
};

} // namespace

group_floor
position_vector::Floor(std::string_view aGroup) const noexcept
{
  const entry* known = Find(HashOf(aGroup));
  if (known == nullptr) {
    return { {}, mOverflowed };
  }
  return { known->position, false };
}

void
position_vector::AdvanceTo(std::string_view aGroup,
                           position::log_position aPosition)
{
  if (aPosition != position::log_position{}) {
    AdvanceHashTo(HashOf(aGroup), aPosition);
  }
}

void
position_vector::Merge(const position_vector& aOther)
{
  position_vector other = aOther;
  if (mOverflowed) {
    other.RemoveUnlessIn(*this);
  }
  if (aOther.mOverflowed) {
    RemoveUnlessIn(aOther);
  }
  mOverflowed = mOverflowed || aOther.mOverflowed;
  for (const entry& seen : other.mEntries) {
    AdvanceHashTo(seen.group, seen.position);
  }
}

void
position_vector::MarkIncomplete() noexcept
{
  mOverflowed = true;
}

void
position_vector::AdvanceHashTo(std::uint64_t aGroup,
                               position::log_position aPosition)
{
  const auto place =
    std::lower_bound(mEntries.begin(),
                     mEntries.end(),
                     aGroup,
                     [](const entry& aEntry, std::uint64_t aHash) {
                       return aEntry.group < aHash;
                     });
  if (place != mEntries.end() && place->group == aGroup) {
    place->position = std::max(place->position, aPosition);
    return;
  }
  if (mEntries.size() >= kMaxGroups) {
    mOverflowed = true;
    return;
  }
  mEntries.insert(place, { aGroup, aPosition });
}

const position_vector::entry*
position_vector::Find(std::uint64_t aGroup) const noexcept
{
  const auto found = std::find_if(
    mEntries.begin(), mEntries.end(), [aGroup](const entry& aEntry) {
      return aEntry.group == aGroup;
    });
  return found == mEntries.end() ? nullptr : &*found;
}

void
position_vector::RemoveUnlessIn(const position_vector& aOther)
{
  std::erase_if(mEntries, [&aOther](const entry& aEntry) {
    return aOther.Find(aEntry.group) == nullptr;
  });
}

bool
position_vector::Overflowed() const noexcept
{
  return mOverflowed;
}

std::size_t
position_vector::size() const noexcept
{
  return mEntries.size();
}

std::string
position_vector::Encode() const
{
  std::string bytes;
  bytes.push_back(static_cast<char>(mOverflowed ? kOverflowed : 0));
  bytes.push_back(static_cast<char>(mEntries.size()));
  for (const entry& known : mEntries) {
    PutWord(bytes, known.group);
    PutVarint(bytes, known.position.term);
    PutVarint(bytes, known.position.index);
  }
  return bytes;
}

std::error_code
position_vector::Decode(std::string_view aBytes)
{
  reader bytes(aBytes);
  unsigned char flags = 0;
  unsigned char count = 0;
  if (!bytes.Byte(flags) || !bytes.Byte(count) || flags > kOverflowed ||
      count > kMaxGroups) {
    return session_error::kMalformed;
  }
  position_vector read;
  read.mOverflowed = flags == kOverflowed;
  for (unsigned at = 0; at < count; ++at) {
    entry next;
    if (!bytes.Word(next.group) || !bytes.Varint(next.position.term) ||
        !bytes.Varint(next.position.index)) {
      return session_error::kMalformed;
    }
    if (!read.mEntries.empty() && read.mEntries.back().group >= next.group) {
      return session_error::kMalformed;
    }
    read.mEntries.push_back(next);
  }
  if (!bytes.empty()) {
    return session_error::kMalformed;
  }
  *this = std::move(read);
  return {};
}

} // namespace currantshed::session

#include "currantshed/log/utf8.hpp"

#include <cstddef>
#include <cstdint>

namespace currantshed::log {
namespace {

constexpr std::string_view kReplacement = "\xEF\xBF\xBD";
constexpr std::uint8_t kContinuationMask = 0xC0;
constexpr std::uint8_t kContinuation = 0x80;
constexpr unsigned kContinuationBits = 6;
constexpr std::uint32_t kFirstSurrogate = 0xD800;
constexpr std::uint32_t kLastSurrogate = 0xDFFF;
constexpr std::uint32_t kLastCodePoint = 0x10FFFF;

/// Lead-byte pattern of a sequence of a given length, and the smallest code
/// point that may be encoded with that length.
struct sequence_form
{
  std::size_t length;
  std::uint8_t mask;
  std::uint8_t pattern;
  std::uint32_t minCodePoint;
};

constexpr sequence_form kSequenceForms[] = {
  { 1, 0x80, 0x00, 0x0 },
  { 2, 0xE0, 0xC0, 0x80 },
  { 3, 0xF0, 0xE0, 0x800 },
  { 4, 0xF8, 0xF0, 0x10000 },
};

bool
IsAllowed(std::uint32_t aCodePoint, std::uint32_t aMinCodePoint)
{
  const bool isSurrogate =
    aCodePoint >= kFirstSurrogate && aCodePoint <= kLastSurrogate;
  return aCodePoint >= aMinCodePoint && aCodePoint <= kLastCodePoint &&
         !isSurrogate;
}

/// Length of the valid sequence at the start of the text; zero if there is
/// none.
std::size_t
SequenceLength(std::string_view aText)
{
  const auto first = static_cast<std::uint8_t>(aText[0]);
  for (const auto& form : kSequenceForms) {
    if ((first & form.mask) != form.pattern) {
      continue;
    }
    if (aText.size() < form.length) {
      return 0;
    }
    std::uint32_t codePoint = first & static_cast<std::uint8_t>(~form.mask);
    for (std::size_t i = 1; i < form.length; ++i) {
      const auto next = static_cast<std::uint8_t>(aText[i]);
      if ((next & kContinuationMask) != kContinuation) {
        return 0;
      }
      codePoint = (codePoint << kContinuationBits) |
                  (next & static_cast<std::uint8_t>(~kContinuationMask));
    }
    return IsAllowed(codePoint, form.minCodePoint) ? form.length : 0;
  }
  return 0;
}

} // namespace

std::string
ToValidUtf8(std::string_view aText)
{
  std::string valid;
  valid.reserve(aText.size());
  while (!aText.empty()) {
    const std::size_t length = SequenceLength(aText);
    if (length == 0) {
      valid += kReplacement;
      aText.remove_prefix(1);
      continue;
    }
    valid += aText.substr(0, length);
    aText.remove_prefix(length);
  }
  return valid;
}

} // namespace currantshed::log

#include "currantshed/outcome/idempotency_key.hpp"

#include <algorithm>
#include <chrono>

namespace currantshed::outcome {

namespace {

// Layout of a version 7 UUID, RFC 9562, section 5.7.
constexpr std::size_t kTimeBytes = 6;
constexpr std::size_t kVersionByte = 6;
constexpr std::size_t kVariantByte = 8;
constexpr std::size_t kTextLength = 36;
constexpr std::uint8_t kVersionBits = 0x70;
constexpr std::uint8_t kVersionMask = 0xf0;
constexpr std::uint8_t kVariantBits = 0x80;
constexpr std::uint8_t kVariantMask = 0xc0;
constexpr std::uint64_t kByteMask = 0xff;
constexpr unsigned kBitsInByte = 8;
constexpr unsigned kBitsInDigit = 4;
constexpr std::uint8_t kDigitMask = 0x0f;
constexpr std::string_view kDigits = "0123456789abcdef";

bool
IsDashIndex(std::size_t aIndex)
{
  return aIndex == 8 || aIndex == 13 || aIndex == 18 || aIndex == 23;
}

std::optional<std::uint8_t>
DigitValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return static_cast<std::uint8_t>(aDigit - '0');
  }
  if (aDigit >= 'a' && aDigit <= 'f') {
    return static_cast<std::uint8_t>(aDigit - 'a' + 10);
  }
  if (aDigit >= 'A' && aDigit <= 'F') {
    return static_cast<std::uint8_t>(aDigit - 'A' + 10);
  }
  return std::nullopt;
}

bool
IsVersion7(const idempotency_key::bytes& aBytes)
{
  return (aBytes[kVersionByte] & kVersionMask) == kVersionBits &&
         (aBytes[kVariantByte] & kVariantMask) == kVariantBits;
}

} // namespace

idempotency_key
idempotency_key::Make(clock::wall_time aIssued,
                      std::uint64_t aRandomHigh,
                      std::uint64_t aRandomLow) noexcept
{
  const auto milliseconds = static_cast<std::uint64_t>(
    std::chrono::floor<std::chrono::milliseconds>(aIssued.time_since_epoch())
      .count());
  idempotency_key key;
  for (std::size_t i = 0; i < kTimeBytes; ++i) {
    const auto shift = kBitsInByte * (kTimeBytes - 1 - i);
    key.mBytes[i] =
      static_cast<std::uint8_t>((milliseconds >> shift) & kByteMask);
  }
  key.mBytes[kVersionByte] = static_cast<std::uint8_t>(
    kVersionBits | ((aRandomHigh >> kBitsInByte) & kDigitMask));
  key.mBytes[kVersionByte + 1] =
    static_cast<std::uint8_t>(aRandomHigh & kByteMask);
  for (std::size_t i = kVariantByte; i < key.mBytes.size(); ++i) {
    const auto shift = kBitsInByte * (key.mBytes.size() - 1 - i);
    key.mBytes[i] =
      static_cast<std::uint8_t>((aRandomLow >> shift) & kByteMask);
  }
  key.mBytes[kVariantByte] = static_cast<std::uint8_t>(
    kVariantBits | (key.mBytes[kVariantByte] & ~kVariantMask));
  return key;
}

std::optional<idempotency_key>
idempotency_key::Parse(std::string_view aText) noexcept
{
  if (aText.size() != kTextLength) {
    return std::nullopt;
  }
  idempotency_key key;
  std::size_t digits = 0;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (IsDashIndex(i)) {
      if (aText[i] != '-') {
        return std::nullopt;
      }
      continue;
    }
    const auto value = DigitValue(aText[i]);
    if (!value) {
      return std::nullopt;
    }
    auto& byte = key.mBytes[digits / 2];
    byte = static_cast<std::uint8_t>((byte << kBitsInDigit) | *value);
    ++digits;
  }
  if (!IsVersion7(key.mBytes)) {
    return std::nullopt;
  }
  return key;
}

clock::wall_time
idempotency_key::IssuedAt() const noexcept
{
  std::uint64_t milliseconds = 0;
  for (std::size_t i = 0; i < kTimeBytes; ++i) {
    milliseconds = (milliseconds << kBitsInByte) | mBytes[i];
  }
  return clock::wall_time{ std::chrono::milliseconds{ milliseconds } };
}

std::string
idempotency_key::Text() const
{
  std::string text;
  text.reserve(kTextLength);
  for (const auto byte : mBytes) {
    if (IsDashIndex(text.size())) {
      text.push_back('-');
    }
    text.push_back(kDigits[byte >> kBitsInDigit]);
    text.push_back(kDigits[byte & kDigitMask]);
  }
  return text;
}

bool
idempotency_key::empty() const noexcept
{
  return std::all_of(mBytes.begin(), mBytes.end(), [](std::uint8_t aByte) {
    return aByte == 0;
  });
}

} // namespace currantshed::outcome

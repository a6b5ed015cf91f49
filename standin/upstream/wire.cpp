#include "standin/upstream/wire.hpp"

namespace currantshed::standin::postgres {

namespace {

constexpr unsigned kBitsPerByte = 8;
constexpr std::size_t kLengthSize = 4;

void
Store(std::string& aTarget,
      std::size_t aOffset,
      std::uint64_t aValue,
      std::size_t aBytes)
{
  for (std::size_t index = 0; index < aBytes; ++index) {
    const auto shift = kBitsPerByte * (aBytes - 1 - index);
    aTarget[aOffset + index] = static_cast<char>(aValue >> shift);
  }
}

void
Append(std::string& aTarget, std::uint64_t aValue, std::size_t aBytes)
{
  aTarget.resize(aTarget.size() + aBytes);
  Store(aTarget, aTarget.size() - aBytes, aValue, aBytes);
}

} // namespace

message_writer::message_writer(std::string& aTarget)
  : mTarget(aTarget)
{
}

void
message_writer::Begin(char aType)
{
  mTarget.push_back(aType);
  mLengthAt = mTarget.size();
  mTarget.append(kLengthSize, '\0');
}

void
message_writer::Byte(char aValue)
{
  mTarget.push_back(aValue);
}

void
message_writer::Int16(std::int16_t aValue)
{
  Append(mTarget, static_cast<std::uint16_t>(aValue), sizeof(aValue));
}

void
message_writer::Int32(std::int32_t aValue)
{
  Append(mTarget, static_cast<std::uint32_t>(aValue), sizeof(aValue));
}

void
message_writer::Int64(std::uint64_t aValue)
{
  Append(mTarget, aValue, sizeof(aValue));
}

void
message_writer::Text(std::string_view aValue)
{
  mTarget.append(aValue);
  mTarget.push_back('\0');
}

void
message_writer::Cell(std::optional<std::string_view> aValue)
{
  if (!aValue) {
    Int32(-1);
    return;
  }
  Int32(static_cast<std::int32_t>(aValue->size()));
  mTarget.append(*aValue);
}

void
message_writer::End()
{
  Store(mTarget, mLengthAt, mTarget.size() - mLengthAt, kLengthSize);
}

void
message_writer::PatchInt16(std::size_t aOffset, std::int16_t aValue)
{
  Store(mTarget, aOffset, static_cast<std::uint16_t>(aValue), sizeof(aValue));
}

std::size_t
message_writer::Offset() const noexcept
{
  return mTarget.size();
}

message_reader::message_reader(std::string_view aBody) noexcept
  : mRest(aBody)
{
}

std::uint64_t
message_reader::Number(std::size_t aBytes) noexcept
{
  if (mFailed || mRest.size() < aBytes) {
    mFailed = true;
    return 0;
  }
  std::uint64_t number = 0;
  for (std::size_t index = 0; index < aBytes; ++index) {
    number = number << kBitsPerByte | static_cast<unsigned char>(mRest[index]);
  }
  mRest.remove_prefix(aBytes);
  return number;
}

char
message_reader::Byte() noexcept
{
  return static_cast<char>(Number(1));
}

std::int16_t
message_reader::Int16() noexcept
{
  return static_cast<std::int16_t>(Number(sizeof(std::int16_t)));
}

std::int32_t
message_reader::Int32() noexcept
{
  return static_cast<std::int32_t>(Number(sizeof(std::int32_t)));
}

std::uint64_t
message_reader::Int64() noexcept
{
  return Number(sizeof(std::uint64_t));
}

std::string_view
message_reader::Text() noexcept
{
  const auto end = mRest.find('\0');
  if (mFailed || end == std::string_view::npos) {
    mFailed = true;
    return {};
  }
  const auto text = mRest.substr(0, end);
  mRest.remove_prefix(end + 1);
  return text;
}

cell
message_reader::Cell()
{
  const auto size = Int32();
  if (mFailed || size < 0) {
    return std::nullopt;
  }
  if (mRest.size() < static_cast<std::size_t>(size)) {
    mFailed = true;
    return std::nullopt;
  }
  std::string text(mRest.substr(0, static_cast<std::size_t>(size)));
  mRest.remove_prefix(static_cast<std::size_t>(size));
  return text;
}

bool
message_reader::Failed() const noexcept
{
  return mFailed;
}

bool
message_reader::empty() const noexcept
{
  return mRest.empty();
}

message_end
ReadMessage(std::string_view aStream, bool aStartup, message& aMessage)
{
  const std::size_t typeSize = aStartup ? 0 : 1;
  if (aStream.size() < typeSize + kLengthSize) {
    return message_end::kPartial;
  }
  message_reader header(aStream.substr(typeSize, kLengthSize));
  const auto length = static_cast<std::uint32_t>(header.Int32());
  if (length < kLengthSize || length > kMessageLimit) {
    return message_end::kMalformed;
  }
  if (aStream.size() < typeSize + length) {
    return message_end::kPartial;
  }
  aMessage.type = aStartup ? '\0' : aStream[0];
  aMessage.body = aStream.substr(typeSize + kLengthSize, length - kLengthSize);
  aMessage.size = typeSize + length;
  return message_end::kWhole;
}

} // namespace currantshed::standin::postgres

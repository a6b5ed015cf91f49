#ifndef CURRANTSHED_STANDIN_UPSTREAM_WIRE_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_WIRE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "currantshed/upstream/statement.hpp"

namespace currantshed::standin::postgres {

using currantshed::upstream::cell;

/// Appends messages of PostgreSQL's protocol version 3 to a buffer: a type
/// byte, a length that includes itself, then fields in network byte order.
class message_writer
{
public:
  explicit message_writer(std::string& aTarget);

  void Begin(char aType);
  void Byte(char aValue);
  void Int16(std::int16_t aValue);
  void Int32(std::int32_t aValue);
  void Int64(std::uint64_t aValue);
  /// A string with a terminating zero byte.
  void Text(std::string_view aValue);
  /// A four-byte length, -1 for NULL, followed by the bytes.
  void Cell(std::optional<std::string_view> aValue);
  void End();

  /// Overwrites an Int16 written before, given its offset in the buffer.
  void PatchInt16(std::size_t aOffset, std::int16_t aValue);
  [[nodiscard]] std::size_t Offset() const noexcept;

private:
  std::string& mTarget;
  std::size_t mLengthAt = 0;
};

/// Reads the fields of one message body. Once a field is missing, Failed
/// returns true and all further fields are empty.
class message_reader
{
public:
  explicit message_reader(std::string_view aBody) noexcept;

  [[nodiscard]] char Byte() noexcept;
  [[nodiscard]] std::int16_t Int16() noexcept;
  [[nodiscard]] std::int32_t Int32() noexcept;
  [[nodiscard]] std::uint64_t Int64() noexcept;
  [[nodiscard]] std::string_view Text() noexcept;
  [[nodiscard]] cell Cell();
  [[nodiscard]] bool Failed() const noexcept;
  [[nodiscard]] bool empty() const noexcept;

private:
  [[nodiscard]] std::uint64_t Number(std::size_t aBytes) noexcept;

  std::string_view mRest;
  bool mFailed = false;
};

/// One message parsed from a byte stream.
struct message
{
  char type = 0;
  std::string_view body;
  /// Size of the message in the stream, in bytes.
  std::size_t size = 0;
};

/// State of the data at the start of a byte stream.
enum class message_end
{
  kWhole,
  kPartial,
  kMalformed,
};

/// Messages larger than this number of bytes are malformed.
inline constexpr std::size_t kMessageLimit = std::size_t{ 64 } << 20U;

/// Parses the message at the start of a stream. A startup message has no type
/// byte.
[[nodiscard]] message_end
ReadMessage(std::string_view aStream, bool aStartup, message& aMessage);

} // namespace currantshed::standin::postgres

#endif

#ifndef CURRANTSHED_NODE_LINE_SPLITTER_HPP
#define CURRANTSHED_NODE_LINE_SPLITTER_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace currantshed::node {

/// Maximum length of a message without its line end: the protocol's limit, in
/// bytes.
constexpr std::size_t kMaxMessageBytes = std::size_t{ 1 } << 20U;

/// Maximum length of a line between two VMs, in bytes. It holds a message of
/// the maximum length and what the VM that relays it adds in front: request
/// attributes, the customer and a log position.
constexpr std::size_t kMaxRelayedBytes = kMaxMessageBytes + 1024;

/// A line without its end.
struct split_line
{
  /// Empty if the line is too long.
  std::string_view text;
  /// The line exceeds the limit. It is reported once, as soon as that is known,
  /// and the rest of it is dropped.
  bool isTooLong = false;
};

/// Splits a stream of bytes into lines. A line ends with CR LF; a CR or an LF
/// alone is part of it. However the stream is cut, each byte is searched once
/// and copied at most once. Does no I/O.
class line_splitter
{
public:
  explicit line_splitter(std::size_t aMaxBytes = kMaxMessageBytes) noexcept
    : mMaxBytes(aMaxBytes)
  {
  }

  /// Adds the next bytes of the stream. They must stay valid until Next has
  /// returned none or Clear was called.
  void Add(std::string_view aBytes) noexcept { mRest = aBytes; }

  /// Returns the next line, or none if it is incomplete. The text is valid
  /// until the next call.
  [[nodiscard]] std::optional<split_line> Next();

  /// Whether there are bytes that no line returned so far includes.
  [[nodiscard]] bool HasRest() const noexcept;

  /// Drops all bytes added so far.
  void Clear();

private:
  [[nodiscard]] std::optional<split_line> EndLine(std::string_view aText);
  [[nodiscard]] std::optional<split_line> KeepPart(std::string_view aText);
  [[nodiscard]] split_line Reject(bool aIsDropping);

  std::size_t mMaxBytes;
  // Bytes added and not searched yet.
  std::string_view mRest;
  // The beginning of a line, or all of it if it was just returned.
  std::string mPart;
  bool mIsPartReturned = false;
  // Whether mPart, or what was dropped, ends with a CR. An LF that follows ends
  // the line.
  bool mEndsWithCr = false;
  // The line is too long: all up to its end is dropped.
  bool mIsDropping = false;
};

} // namespace currantshed::node

#endif

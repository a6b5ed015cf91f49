#include "currantshed/node/line_splitter.hpp"

#include <utility>

#include "currantshed/node/internal/idle_buffer.hpp"

namespace currantshed::node {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

} // namespace

std::optional<split_line>
line_splitter::Next()
{
  if (std::exchange(mIsPartReturned, false)) {
    internal::EmptyBuffer(mPart);
  }
  while (!mRest.empty()) {
    std::optional<split_line> line;
    if (mEndsWithCr && mRest.front() == '\n') {
      mRest.remove_prefix(1);
      if (!mPart.empty()) {
        mPart.pop_back();
      }
      line = EndLine({});
    } else if (const auto end = mRest.find(kLineEnd);
               end != std::string_view::npos) {
      const auto text = mRest.substr(0, end);
      mRest.remove_prefix(end + kLineEnd.size());
      line = EndLine(text);
    } else {
      line = KeepPart(std::exchange(mRest, {}));
    }
    if (line) {
      return line;
    }
  }
  return std::nullopt;
}

// Ends the current line with the text. Returns none if the line was rejected
// before.
std::optional<split_line>
line_splitter::EndLine(std::string_view aText)
{
  mEndsWithCr = false;
  if (std::exchange(mIsDropping, false)) {
    return std::nullopt;
  }
  if (mPart.size() + aText.size() > mMaxBytes) {
    return Reject(false);
  }
  if (mPart.empty()) {
    return split_line{ aText };
  }
  mPart.append(aText);
  mIsPartReturned = true;
  return split_line{ mPart };
}

// Keeps the beginning of a line. Returns a line only if it is too long.
std::optional<split_line>
line_splitter::KeepPart(std::string_view aText)
{
  mEndsWithCr = aText.back() == '\r';
  if (mIsDropping) {
    return std::nullopt;
  }
  // A CR at the end may be that of the line end.
  if (mPart.size() + aText.size() > mMaxBytes + (mEndsWithCr ? 1 : 0)) {
    return Reject(true);
  }
  mPart.append(aText);
  return std::nullopt;
}

split_line
line_splitter::Reject(bool aIsDropping)
{
  internal::EmptyBuffer(mPart);
  mIsDropping = aIsDropping;
  return { {}, true };
}

bool
line_splitter::HasRest() const noexcept
{
  return !mRest.empty() || mIsDropping || (!mPart.empty() && !mIsPartReturned);
}

void
line_splitter::Clear()
{
  *this = line_splitter(mMaxBytes);
}

} // namespace currantshed::node

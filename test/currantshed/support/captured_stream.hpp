#ifndef CURRANTSHED_TEST_SUPPORT_CAPTURED_STREAM_HPP
#define CURRANTSHED_TEST_SUPPORT_CAPTURED_STREAM_HPP

#include <ostream>
#include <sstream>
#include <string>

namespace currantshed::support {

/// Captures the output to a standard stream during its lifetime.
class captured_stream
{
public:
  explicit captured_stream(std::ostream& aStream)
    : mStream(aStream)
    , mOriginal(aStream.rdbuf(mText.rdbuf()))
  {
  }

  ~captured_stream() { mStream.rdbuf(mOriginal); }

  captured_stream(const captured_stream&) = delete;
  captured_stream& operator=(const captured_stream&) = delete;

  [[nodiscard]] std::string Text() const { return mText.str(); }

private:
  std::ostream& mStream;
  std::ostringstream mText;
  std::streambuf* mOriginal;
};

} // namespace currantshed::support

#endif

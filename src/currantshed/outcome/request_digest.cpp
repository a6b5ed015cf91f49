#include "currantshed/outcome/request_digest.hpp"

#include <absl/strings/str_format.h>
#include <xxhash.h>

namespace currantshed::outcome {

namespace {

// Type tags of parameters, which distinguish NULL, an empty text, and no
// parameter.
constexpr char kNullTag = 'n';
constexpr char kTextTag = 't';

void
AppendNumber(std::string& aBuffer, std::uint64_t aNumber)
{
  aBuffer += std::to_string(aNumber);
  aBuffer.push_back(':');
}

void
AppendText(std::string& aBuffer, const std::string& aText)
{
  AppendNumber(aBuffer, aText.size());
  aBuffer += aText;
}

} // namespace

void
request_digest::Add(const upstream::statement& aStatement)
{
  std::string buffer;
  AppendNumber(buffer, mHigh);
  AppendNumber(buffer, mLow);
  AppendText(buffer, aStatement.sql);
  AppendNumber(buffer, aStatement.parameters.size());
  for (const auto& parameter : aStatement.parameters) {
    buffer.push_back(parameter ? kTextTag : kNullTag);
    if (parameter) {
      AppendText(buffer, *parameter);
    }
  }
  const auto hash = XXH3_128bits(buffer.data(), buffer.size());
  mHigh = hash.high64;
  mLow = hash.low64;
}

void
request_digest::Add(const std::vector<upstream::statement>& aStatements)
{
  for (const auto& statement : aStatements) {
    Add(statement);
  }
}

std::string
request_digest::Text() const
{
  return absl::StrFormat("%016x%016x", mHigh, mLow);
}

} // namespace currantshed::outcome

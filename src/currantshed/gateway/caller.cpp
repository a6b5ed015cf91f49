#include "currantshed/gateway/caller.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

#include "currantshed/gateway/error.hpp"

namespace currantshed::gateway {

namespace {

bool
IsUnreserved(char aLetter)
{
  const auto letter = static_cast<unsigned char>(aLetter);
  return absl::ascii_isalnum(letter) || aLetter == '-' || aLetter == '.' ||
         aLetter == '_' || aLetter == '~';
}

/// Percent-encodes a text for one path segment (RFC 3986).
std::string
EscapeSegment(std::string_view aText)
{
  std::string escaped;
  for (const char letter : aText) {
    if (IsUnreserved(letter)) {
      escaped.push_back(letter);
    } else {
      const auto number = static_cast<unsigned char>(letter);
      absl::StrAppend(&escaped, "%", absl::Hex(number, absl::kZeroPad2));
    }
  }
  return escaped;
}

} // namespace

caller_answer
Refuse(gateway_error aError)
{
  caller_answer answer;
  answer.verdict = outcome::verdict::kRefused;
  answer.why = outcome::reason::kMalformed;
  answer.fault = make_error_code(aError);
  answer.message = answer.fault.message();
  return answer;
}

caller_answer
NotRun(outcome::reason aWhy, std::chrono::milliseconds aRetryAfter)
{
  caller_answer answer;
  answer.verdict = outcome::verdict::kNotRun;
  answer.why = aWhy;
  answer.retryAfter = aRetryAfter;
  return answer;
}

std::string
OutcomePath(std::string_view aGroup, const outcome::idempotency_key& aKey)
{
  return absl::StrCat("/v1/outcomes/", EscapeSegment(aGroup), "/", aKey.Text());
}

} // namespace currantshed::gateway

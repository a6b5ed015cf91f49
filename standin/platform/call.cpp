#include "standin/platform/call.hpp"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace currantshed::standin {

namespace {

constexpr std::size_t kHexDigits = 2;

absl::string_view
View(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::optional<std::string>
PercentDecode(absl::string_view aText)
{
  std::string decoded;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] != '%') {
      decoded.push_back(aText[at]);
      continue;
    }
    std::uint32_t byte = 0;
    if (at + kHexDigits >= aText.size() ||
        !absl::SimpleHexAtoi(aText.substr(at + 1, kHexDigits), &byte)) {
      return std::nullopt;
    }
    decoded.push_back(static_cast<char>(byte));
    at += kHexDigits;
  }
  return decoded;
}

} // namespace

std::optional<std::uint64_t>
call::Number(std::string_view aName) const
{
  const auto found = query.find(std::string(aName));
  std::uint64_t number = 0;
  if (found == query.end() || !absl::SimpleAtoi(found->second, &number)) {
    return std::nullopt;
  }
  return number;
}

std::string
call::Text(std::string_view aName) const
{
  const auto found = query.find(std::string(aName));
  return found == query.end() ? std::string() : found->second;
}

std::optional<call>
ParseCall(std::string_view aMethod, std::string_view aTarget)
{
  const std::pair<absl::string_view, absl::string_view> parts =
    absl::StrSplit(View(aTarget), absl::MaxSplits('?', 1));
  auto path = PercentDecode(parts.first);
  if (!path) {
    return std::nullopt;
  }
  call parsed;
  parsed.method = aMethod;
  parsed.path = std::move(*path);
  for (const auto item : absl::StrSplit(parts.second, '&', absl::SkipEmpty())) {
    const std::pair<absl::string_view, absl::string_view> pair =
      absl::StrSplit(item, absl::MaxSplits('=', 1));
    auto name = PercentDecode(pair.first);
    auto value = PercentDecode(pair.second);
    if (!name || !value) {
      return std::nullopt;
    }
    parsed.query[*name] = std::move(*value);
  }
  return parsed;
}

call_kind
ClassifyCall(const call& aCall)
{
  if (absl::StartsWith(aCall.path, "/control/")) {
    return call_kind::kControl;
  }
  if (absl::StartsWith(aCall.path, "/v1/session/")) {
    return call_kind::kSession;
  }
  if (absl::StartsWith(aCall.path, "/v1/catalog/")) {
    return call_kind::kList;
  }
  if (aCall.method != "GET") {
    return call_kind::kWrite;
  }
  return aCall.Number("index").value_or(0) > 0 ? call_kind::kWatch
                                               : call_kind::kRead;
}

} // namespace currantshed::standin

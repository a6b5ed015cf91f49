#include "currantshed/gateway/http_call.hpp"

#include <charconv>
#include <chrono>
#include <cstddef>
#include <vector>

#include "currantshed/gateway/caller.hpp"
#include "currantshed/gateway/error.hpp"
#include "currantshed/gateway/json_codec.hpp"

namespace currantshed::gateway {

namespace {

constexpr int kHexadecimal = 16;
constexpr std::size_t kEscapeLength = 3;

/// Decodes one percent-encoded path segment; nullopt if the encoding is
/// invalid.
std::optional<std::string>
Unescape(std::string_view aText)
{
  std::string plain;
  while (!aText.empty()) {
    if (aText.front() != '%') {
      plain.push_back(aText.front());
      aText.remove_prefix(1);
      continue;
    }
    unsigned char letter = 0;
    const char* begin = aText.data() + 1;
    const char* end = aText.data() + kEscapeLength;
    if (aText.size() < kEscapeLength ||
        std::from_chars(begin, end, letter, kHexadecimal).ptr != end) {
      return std::nullopt;
    }
    plain.push_back(static_cast<char>(letter));
    aText.remove_prefix(kEscapeLength);
  }
  return plain;
}

/// Splits a target's path into segments, without the query.
std::vector<std::string_view>
Segments(std::string_view aTarget)
{
  std::string_view rest = aTarget.substr(0, aTarget.find('?'));
  std::vector<std::string_view> segments;
  while (!rest.empty()) {
    rest.remove_prefix(1);
    const std::size_t end = rest.find('/');
    segments.push_back(rest.substr(0, end));
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end);
  }
  return segments;
}

/// Determines the call from the segments after the version; nullopt if there is
/// no such call.
std::optional<call_kind>
FindCall(const std::vector<std::string_view>& aPath)
{
  if (aPath.size() < 2 || aPath[0] != "v1") {
    return std::nullopt;
  }
  const std::string_view what = aPath[1];
  if (what == "statements" && aPath.size() == 2) {
    return call_kind::kStatements;
  }
  if (what == "outcomes" && aPath.size() == 4) {
    return call_kind::kOutcome;
  }
  if (what != "transactions") {
    return std::nullopt;
  }
  if (aPath.size() == 2) {
    return call_kind::kBegin;
  }
  if (aPath.size() != 4) {
    return std::nullopt;
  }
  if (aPath[3] == "statements") {
    return call_kind::kStatement;
  }
  if (aPath[3] == "commit") {
    return call_kind::kCommit;
  }
  if (aPath[3] == "rollback") {
    return call_kind::kRollback;
  }
  return std::nullopt;
}

std::error_code
ReadPath(const http_call& aCall, caller_request& aRequest)
{
  const auto path = Segments(aCall.target);
  const auto kind = FindCall(path);
  if (!kind) {
    return gateway_error::kNotFound;
  }
  aRequest.kind = *kind;
  const bool asks = *kind == call_kind::kOutcome;
  if (aCall.method != (asks ? "GET" : "POST")) {
    return gateway_error::kMethodNotAllowed;
  }
  if (asks) {
    const auto group = Unescape(path[2]);
    if (!group) {
      return gateway_error::kNotFound;
    }
    aRequest.group = *group;
    aRequest.key = path[3];
  } else if (path.size() > 2) {
    aRequest.transaction = path[2];
  }
  return {};
}

std::error_code
ReadHeaders(const http_call& aCall, caller_request& aRequest)
{
  if (aCall.session) {
    aRequest.session = std::string(*aCall.session);
  }
  if (aCall.key && aRequest.kind != call_kind::kOutcome) {
    if (aCall.key->empty()) {
      return gateway_error::kMalformedKey;
    }
    aRequest.key = *aCall.key;
  }
  if (!aCall.deadline) {
    return {};
  }
  unsigned count = 0;
  const char* end = aCall.deadline->data() + aCall.deadline->size();
  const auto read = std::from_chars(aCall.deadline->data(), end, count);
  if (read.ec != std::errc{} || read.ptr != end || count == 0) {
    return gateway_error::kMalformedDeadline;
  }
  aRequest.deadline = std::chrono::milliseconds(count);
  return {};
}

} // namespace

std::error_code
ReadCall(const http_call& aCall, caller_request& aRequest, std::string& aDetail)
{
  if (const auto error = ReadPath(aCall, aRequest)) {
    return error;
  }
  if (const auto error = ReadHeaders(aCall, aRequest)) {
    return error;
  }
  if (aRequest.kind == call_kind::kOutcome) {
    return {};
  }
  return ReadBody(aCall.body, aRequest, aDetail);
}

} // namespace currantshed::gateway

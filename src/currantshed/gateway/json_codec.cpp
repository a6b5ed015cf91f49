#include "currantshed/gateway/json_codec.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <iterator>

#include <boost/json.hpp>

#include "currantshed/gateway/caller.hpp"
#include "currantshed/gateway/error.hpp"

namespace currantshed::gateway {

namespace {

using outcome::reason;
using outcome::verdict;

constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;
constexpr unsigned kMissing = 404;
constexpr unsigned kUnprocessable = 422;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kTimeout = 504;

constexpr std::size_t kPieceBytes = 1024;
constexpr std::size_t kNumberBytes = 24;
/// Approximate size of a response without its cells.
constexpr std::size_t kFrameBytes = 512;
constexpr std::size_t kCellFrameBytes = 4;

/// Writes JSON incrementally, so that only one copy of a response exists in
/// addition to its cells. Boost.JSON escapes the strings.
class writer
{
public:
  explicit writer(std::size_t aBytes) { mText.reserve(aBytes); }

  void Raw(std::string_view aText) { mText.append(aText); }

  void String(std::string_view aText)
  {
    mSerializer.reset(boost::json::string_view(aText.data(), aText.size()));
    std::array<char, kPieceBytes> piece{};
    while (!mSerializer.done()) {
      const auto read = mSerializer.read(piece.data(), piece.size());
      mText.append(read.data(), read.size());
    }
  }

  void Number(std::uint64_t aNumber)
  {
    std::array<char, kNumberBytes> digits{};
    const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), aNumber);
    mText.append(digits.data(), end.ptr);
  }

  /// Starts a field of the outermost object.
  void Field(std::string_view aName)
  {
    mText.append(mText.empty() ? "{\"" : ",\"");
    mText.append(aName);
    mText.append("\":");
  }

  /// Writes a field unless its text is empty.
  void OptionalField(std::string_view aName, std::string_view aText)
  {
    if (!aText.empty()) {
      Field(aName);
      String(aText);
    }
  }

  [[nodiscard]] std::string Take() { return std::move(mText); }

private:
  boost::json::serializer mSerializer;
  std::string mText;
};

void
WriteCell(writer& aTo, const upstream::cell& aCell)
{
  if (aCell) {
    aTo.String(*aCell);
  } else {
    aTo.Raw("null");
  }
}

void
WriteRows(writer& aTo, const upstream::result_set& aResult)
{
  const std::size_t width = aResult.columns.size();
  for (std::size_t at = 0; at < aResult.cells.size(); ++at) {
    if (at % width == 0) {
      aTo.Raw(at == 0 ? "[" : "],[");
    } else {
      aTo.Raw(",");
    }
    WriteCell(aTo, aResult.cells[at]);
  }
  if (!aResult.cells.empty()) {
    aTo.Raw("]");
  }
}

void
WriteResult(writer& aTo, const upstream::result_set& aResult)
{
  aTo.Raw("{\"columns\":[");
  for (std::size_t at = 0; at < aResult.columns.size(); ++at) {
    aTo.Raw(at == 0 ? "" : ",");
    aTo.String(aResult.columns[at]);
  }
  aTo.Raw("],\"rows\":[");
  if (!aResult.columns.empty()) {
    WriteRows(aTo, aResult);
  }
  aTo.Raw("],\"affected\":");
  aTo.Number(aResult.affected);
  aTo.Raw("}");
}

void
WriteResults(writer& aTo, const caller_answer& aAnswer)
{
  aTo.Field("results");
  aTo.Raw("[");
  for (std::size_t at = 0; at < aAnswer.results.size(); ++at) {
    aTo.Raw(at == 0 ? "" : ",");
    WriteResult(aTo, aAnswer.results[at]);
  }
  aTo.Raw("]");
}

std::size_t
ExpectedBytes(const caller_answer& aAnswer)
{
  std::size_t bytes = kFrameBytes + aAnswer.session.size();
  for (const auto& result : aAnswer.results) {
    for (const auto& cell : result.cells) {
      bytes += kCellFrameBytes + (cell ? cell->size() : 0);
    }
  }
  return bytes;
}

/// Name and message of a reason in the API.
struct reason_row
{
  reason why;
  std::string_view name;
  std::string_view message;
};

constexpr reason_row kReasons[] = {
  { reason::kNone, "", "" },
  { reason::kOverloaded,
    "overloaded",
    "there is no room for it before its deadline" },
  { reason::kDeadline, "deadline", "the deadline has passed, or can't be met" },
  { reason::kNoPrimary,
    "no_primary",
    "the group has no confirmed primary at the moment" },
  { reason::kNoEligibleServer,
    "no_place",
    "no server in the places that the class allows can serve it" },
  { reason::kTooStale,
    "too_stale",
    "no server has data as new as the session or the class "
    "asks for" },
  { reason::kTransactionLost,
    "transaction_lost",
    "the transaction has ended, or its connection was lost" },
  { reason::kUnknownGroup, "unknown_group", "the group isn't known here" },
  { reason::kAnswerTooLarge,
    "answer_too_large",
    "the answer passes the limit on its size" },
  { reason::kStatement, "statement", "the database refuses the statement" },
  { reason::kKeyExpired,
    "key_expired",
    "the key is older than outcomes are kept" },
  { reason::kKeyReused,
    "key_reused",
    "the key was used before, for another request" },
  { reason::kKeyVoid,
    "key_void",
    "the key was made void, so that the change can't run under "
    "it; take a new key to send it again" },
  { reason::kLeaving,
    "leaving",
    "the process is shutting down; send it to another one" },
  { reason::kMalformed, "malformed", "the request is malformed" },
  { reason::kUnreachable,
    "unreachable",
    "no pooler can be reached for the group" },
};

const reason_row&
Row(reason aReason) noexcept
{
  const auto* found =
    std::find_if(std::begin(kReasons),
                 std::end(kReasons),
                 [aReason](auto& aRow) { return aRow.why == aReason; });
  return found == std::end(kReasons) ? kReasons[0] : *found;
}

/// The response's own message, or else that of its reason.
std::string_view
MessageOf(const caller_answer& aAnswer) noexcept
{
  return aAnswer.message.empty() ? Row(aAnswer.why).message
                                 : std::string_view(aAnswer.message);
}

unsigned
RefusedStatus(const caller_answer& aAnswer) noexcept
{
  if (aAnswer.fault) {
    return ErrorStatus(static_cast<gateway_error>(aAnswer.fault.value()));
  }
  switch (aAnswer.why) {
    case reason::kUnknownGroup:
      return kMissing;
    case reason::kKeyExpired:
    case reason::kKeyReused:
    case reason::kKeyVoid:
    case reason::kTransactionLost:
      return kConflict;
    default:
      return kUnprocessable;
  }
}

} // namespace

std::string
WriteAnswer(const caller_answer& aAnswer)
{
  writer to(ExpectedBytes(aAnswer));
  to.Field("outcome");
  to.String(VerdictName(aAnswer));
  to.OptionalField("reason", ReasonName(aAnswer));
  to.OptionalField("message", MessageOf(aAnswer));
  if (aAnswer.verdict == verdict::kDone) {
    WriteResults(to, aAnswer);
  }
  to.OptionalField("group", aAnswer.group);
  if (!aAnswer.servedBy.empty()) {
    to.OptionalField("served_by", aAnswer.servedBy);
    to.OptionalField("failure_domain", aAnswer.failureDomain);
    to.Field("replica");
    to.Raw(aAnswer.byReplica ? "true" : "false");
  }
  if (!aAnswer.key.empty()) {
    to.OptionalField("key", aAnswer.key.Text());
  }
  if (aAnswer.repeated) {
    to.Field("repeated");
    to.Raw("true");
  }
  to.OptionalField("transaction", aAnswer.transaction);
  to.OptionalField("sql_state", aAnswer.sqlState);
  if (aAnswer.verdict == verdict::kNotRun) {
    to.Field("retry_after_ms");
    to.Number(static_cast<std::uint64_t>(aAnswer.retryAfter.count()));
  }
  to.OptionalField("ask", aAnswer.outcomePath);
  to.OptionalField("session", aAnswer.session);
  to.Raw("}");
  return to.Take();
}

std::string_view
ReasonName(const caller_answer& aAnswer) noexcept
{
  if (aAnswer.fault) {
    return ErrorName(static_cast<gateway_error>(aAnswer.fault.value()));
  }
  return Row(aAnswer.why).name;
}

std::string_view
VerdictName(const caller_answer& aAnswer) noexcept
{
  switch (aAnswer.verdict) {
    case verdict::kDone:
      return "done";
    case verdict::kNotRun:
      return "not_run";
    case verdict::kRefused:
      return "refused";
    case verdict::kUnknown:
      break;
  }
  return "unknown";
}

unsigned
StatusOf(const caller_answer& aAnswer) noexcept
{
  switch (aAnswer.verdict) {
    case verdict::kDone:
      return kOk;
    case verdict::kNotRun:
      return kUnavailable;
    case verdict::kRefused:
      return RefusedStatus(aAnswer);
    case verdict::kUnknown:
      break;
  }
  return kTimeout;
}

} // namespace currantshed::gateway

#include <array>
#include <cstddef>
#include <utility>

#include <boost/json.hpp>

#include "currantshed/gateway/caller.hpp"
#include "currantshed/gateway/error.hpp"
#include "currantshed/gateway/json_codec.hpp"

namespace currantshed::gateway {

namespace {

namespace json = boost::json;

constexpr std::size_t kMaxDepth = 8;
constexpr std::size_t kInitialBufferBytes = 4096;

/// An error, with a human-readable location.
struct fault
{
  std::error_code error;
  std::string detail;
};

fault
Fault(gateway_error aError, std::string aDetail)
{
  return { make_error_code(aError), std::move(aDetail) };
}

fault
WrongKind(std::string_view aField, std::string_view aExpected)
{
  return Fault(gateway_error::kMalformedBody,
               std::string(aField) + " must be " + std::string(aExpected));
}

std::string
Text(json::string_view aText)
{
  return { aText.data(), aText.size() };
}

fault
ReadText(const json::value& aValue, std::string_view aField, std::string& aTo)
{
  const json::string* text = aValue.if_string();
  if (text == nullptr) {
    return WrongKind(aField, "a string");
  }
  aTo = Text(*text);
  return {};
}

/// Converts a parameter to the database's text format; false for a JSON kind
/// that is not allowed.
bool
ReadParameter(const json::value& aValue, upstream::cell& aTo)
{
  switch (aValue.kind()) {
    case json::kind::null:
      aTo.reset();
      return true;
    case json::kind::bool_:
      aTo = aValue.get_bool() ? "true" : "false";
      return true;
    case json::kind::string:
      aTo = Text(aValue.get_string());
      return aTo->find('\0') == std::string::npos;
    case json::kind::int64:
    case json::kind::uint64:
    case json::kind::double_:
      aTo = json::serialize(aValue);
      return true;
    default:
      return false;
  }
}

fault
ReadParameters(const json::value& aValue, std::vector<upstream::cell>& aTo)
{
  const json::array* values = aValue.if_array();
  if (values == nullptr) {
    return WrongKind("params", "an array");
  }
  aTo.resize(values->size());
  for (std::size_t at = 0; at < values->size(); ++at) {
    if (!ReadParameter((*values)[at], aTo[at])) {
      return Fault(gateway_error::kParameterKind,
                   "parameter $" + std::to_string(at + 1));
    }
  }
  return {};
}

/// Parses `sql` or `params`; kUnknownField for any other name.
fault
ReadStatementField(json::string_view aName,
                   const json::value& aValue,
                   upstream::statement& aTo)
{
  if (aName == "sql") {
    return ReadText(aValue, "sql", aTo.sql);
  }
  if (aName == "params") {
    return ReadParameters(aValue, aTo.parameters);
  }
  return Fault(gateway_error::kUnknownField, Text(aName));
}

fault
ReadStatement(const json::value& aValue, upstream::statement& aTo)
{
  const json::object* fields = aValue.if_object();
  if (fields == nullptr) {
    return WrongKind("statements", "an array of objects");
  }
  for (const auto& field : *fields) {
    fault found = ReadStatementField(field.key(), field.value(), aTo);
    if (found.error) {
      return found;
    }
  }
  if (!fields->contains("sql")) {
    return Fault(gateway_error::kMissingField, "sql");
  }
  return {};
}

fault
ReadStatements(const json::value& aValue, caller_request& aRequest)
{
  const json::array* values = aValue.if_array();
  if (values == nullptr) {
    return WrongKind("statements", "an array of objects");
  }
  aRequest.statements.resize(values->size());
  for (std::size_t at = 0; at < values->size(); ++at) {
    fault found = ReadStatement((*values)[at], aRequest.statements[at]);
    if (found.error) {
      found.detail += " in statement " + std::to_string(at + 1);
      return found;
    }
  }
  return {};
}

/// Whether the call's body contains class and group.
bool
HasClassAndGroup(const caller_request& aRequest)
{
  return aRequest.kind == call_kind::kStatements ||
         aRequest.kind == call_kind::kBegin;
}

bool
AllowsStatements(const caller_request& aRequest)
{
  return HasClassAndGroup(aRequest) || aRequest.kind == call_kind::kStatement;
}

fault
ReadField(json::string_view aName,
          const json::value& aValue,
          caller_request& aRequest,
          upstream::statement& aSingle)
{
  if (HasClassAndGroup(aRequest) && aName == "class") {
    return ReadText(aValue, "class", aRequest.workClass);
  }
  if (HasClassAndGroup(aRequest) && aName == "group") {
    return ReadText(aValue, "group", aRequest.group);
  }
  if (!AllowsStatements(aRequest)) {
    return Fault(gateway_error::kUnknownField, Text(aName));
  }
  if (aName == "statements") {
    return ReadStatements(aValue, aRequest);
  }
  return ReadStatementField(aName, aValue, aSingle);
}

/// Checks that the required fields are present and that none conflict, after
/// all of them have been parsed.
fault
CheckFields(const json::object& aFields, const caller_request& aRequest)
{
  for (const char* name : { "class", "group" }) {
    if (HasClassAndGroup(aRequest) && !aFields.contains(name)) {
      return Fault(gateway_error::kMissingField, name);
    }
  }
  if (aFields.contains("statements") &&
      (aFields.contains("sql") || aFields.contains("params"))) {
    return Fault(gateway_error::kUnknownField,
                 "statements goes without sql and params");
  }
  if (aFields.contains("params") && !aFields.contains("sql")) {
    return Fault(gateway_error::kMissingField, "sql");
  }
  return {};
}

fault
ReadObject(const json::object& aFields, caller_request& aRequest)
{
  upstream::statement single;
  for (const auto& field : aFields) {
    fault found = ReadField(field.key(), field.value(), aRequest, single);
    if (found.error) {
      return found;
    }
  }
  if (aFields.contains("sql")) {
    aRequest.statements.push_back(std::move(single));
  }
  return CheckFields(aFields, aRequest);
}

/// Uses a stream parser because only it reports the offset of an error.
fault
Parse(std::string_view aBody,
      const json::storage_ptr& aMemory,
      json::value& aValue)
{
  json::parse_options options;
  options.max_depth = kMaxDepth;
  json::stream_parser parser(aMemory, options);
  json::error_code error;
  const std::size_t read = parser.write(aBody.data(), aBody.size(), error);
  if (!error) {
    parser.finish(error);
  }
  if (error) {
    return Fault(gateway_error::kMalformedBody,
                 error.message() + " at byte " + std::to_string(read));
  }
  aValue = parser.release();
  return {};
}

} // namespace

std::error_code
ReadBody(std::string_view aBody, caller_request& aRequest, std::string& aDetail)
{
  if (aBody.empty() && !AllowsStatements(aRequest)) {
    return {};
  }
  std::array<unsigned char, kInitialBufferBytes> buffer{};
  json::monotonic_resource memory(buffer.data(), buffer.size());
  json::value value(&memory);
  fault found = Parse(aBody, &memory, value);
  if (!found.error) {
    const json::object* fields = value.if_object();
    found = fields == nullptr ? WrongKind("the body", "an object")
                              : ReadObject(*fields, aRequest);
  }
  aDetail = std::move(found.detail);
  return found.error;
}

} // namespace currantshed::gateway

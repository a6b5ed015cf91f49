#include "currantshed/load/message.hpp"

#include <utility>

#include <boost/json.hpp>

namespace currantshed::load {

namespace {

namespace json = boost::json;

constexpr std::pair<std::string_view, change_outcome> kOutcomes[] = {
  { "done", change_outcome::kDone },
  { "not_run", change_outcome::kNotRun },
  { "refused", change_outcome::kRefused },
};

change_outcome
OutcomeOf(std::string_view aName)
{
  for (const auto& [name, outcome] : kOutcomes) {
    if (name == aName) {
      return outcome;
    }
  }
  return change_outcome::kUnknown;
}

std::string
TextAt(const json::object& aObject, std::string_view aKey)
{
  const json::value* const value = aObject.if_contains(aKey);
  if (value == nullptr) {
    return {};
  }
  if (const json::string* const text = value->if_string()) {
    return std::string(text->data(), text->size());
  }
  return json::serialize(*value);
}

bool
FlagAt(const json::object& aObject, std::string_view aKey)
{
  const json::value* const value = aObject.if_contains(aKey);
  return value != nullptr && value->is_bool() && value->get_bool();
}

std::chrono::milliseconds
MillisecondsAt(const json::object& aObject, std::string_view aKey)
{
  const json::value* const value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_number()) {
    return std::chrono::milliseconds(0);
  }
  boost::system::error_code fault;
  const auto count = value->to_number<std::int64_t>(fault);
  return std::chrono::milliseconds(fault ? 0 : count);
}

std::optional<std::string>
CellOf(const json::value& aValue)
{
  if (aValue.is_null()) {
    return std::nullopt;
  }
  if (const json::string* const text = aValue.if_string()) {
    return std::string(text->data(), text->size());
  }
  return json::serialize(aValue);
}

void
ReadRows(answer& aAnswer, const json::object& aObject)
{
  const json::value* const results = aObject.if_contains("results");
  if (results == nullptr || !results->is_array() ||
      results->get_array().empty()) {
    return;
  }
  const json::object* const last = results->get_array().back().if_object();
  const json::value* const rows =
    last == nullptr ? nullptr : last->if_contains("rows");
  if (rows == nullptr || !rows->is_array()) {
    return;
  }
  for (const json::value& row : rows->get_array()) {
    auto& cells = aAnswer.rows.emplace_back();
    if (const json::array* const values = row.if_array()) {
      for (const json::value& value : *values) {
        cells.push_back(CellOf(value));
      }
    }
  }
}

} // namespace

std::string
MakeBody(std::string_view aClass,
         std::string_view aGroup,
         const std::vector<sql_statement>& aStatements)
{
  json::array statements;
  for (const sql_statement& statement : aStatements) {
    json::array parameters;
    for (const std::string& parameter : statement.parameters) {
      parameters.emplace_back(parameter);
    }
    statements.push_back(json::object{ { "sql", statement.sql },
                                       { "params", std::move(parameters) } });
  }
  json::object body;
  if (!aClass.empty()) {
    body["class"] = aClass;
    body["group"] = aGroup;
  }
  body["statements"] = std::move(statements);
  return json::serialize(body);
}

answer
ReadAnswer(std::string_view aBody)
{
  answer result;
  boost::system::error_code fault;
  const json::value body = json::parse(aBody, fault);
  if (fault || !body.is_object()) {
    return result;
  }
  const json::object& object = body.get_object();
  result.outcome = OutcomeOf(TextAt(object, "outcome"));
  result.reason = TextAt(object, "reason");
  result.message = TextAt(object, "message");
  result.servedBy = TextAt(object, "served_by");
  result.replica = FlagAt(object, "replica");
  result.repeated = FlagAt(object, "repeated");
  result.transaction = TextAt(object, "transaction");
  result.retryAfter = MillisecondsAt(object, "retry_after_ms");
  result.session = TextAt(object, "session");
  ReadRows(result, object);
  return result;
}

std::optional<std::string>
SingleValue(const answer& aAnswer)
{
  if (aAnswer.rows.size() != 1 || aAnswer.rows.front().size() != 1) {
    return std::nullopt;
  }
  return aAnswer.rows.front().front();
}

} // namespace currantshed::load

#include "standin/upstream/control_calls.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "standin/upstream/server.hpp"

namespace currantshed::standin::postgres {

namespace {

namespace json = boost::json;

constexpr std::size_t kDumpLimit = std::size_t{ 64 } << 20U;

struct query_item
{
  std::string name;
  std::string value;
};

// Decodes a URL query component: %XX, and + for a space.
std::string
Decode(std::string_view aText)
{
  constexpr int kHexadecimal = 16;
  std::string text;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    unsigned char value = 0;
    const char* digits = aText.data() + index + 1;
    if (aText[index] == '%' && index + 2 < aText.size() &&
        std::from_chars(digits, digits + 2, value, kHexadecimal).ptr ==
          digits + 2) {
      text.push_back(static_cast<char>(value));
      index += 2;
    } else {
      text.push_back(aText[index] == '+' ? ' ' : aText[index]);
    }
  }
  return text;
}

std::vector<query_item>
ReadQuery(std::string_view aQuery)
{
  std::vector<query_item> items;
  while (!aQuery.empty()) {
    const auto end = std::min(aQuery.find('&'), aQuery.size());
    const auto item = aQuery.substr(0, end);
    aQuery.remove_prefix(std::min(end + 1, aQuery.size()));
    const auto equals = std::min(item.find('='), item.size());
    const auto value =
      equals < item.size() ? item.substr(equals + 1) : std::string_view{};
    items.push_back({ Decode(item.substr(0, equals)), Decode(value) });
  }
  return items;
}

json::object
ToJson(const log_position& aPosition)
{
  return { { "term", aPosition.term }, { "index", aPosition.index } };
}

std::string_view
RoleName(server_role aRole)
{
  switch (aRole) {
    case server_role::kPrimary:
      return "primary";
    case server_role::kReplica:
      return "replica";
    default:
      return "fenced";
  }
}

std::string
StateText(server& aServer)
{
  const auto status = aServer.Data().Status(std::chrono::steady_clock::now());
  const auto counts = aServer.Counts();
  json::array replicas;
  for (const auto position : aServer.ReplicaPositions()) {
    replicas.emplace_back(position);
  }
  const auto role = RoleName(status.role);
  const json::object state = {
    { "id", aServer.Settings().id },
    { "group", aServer.Settings().group },
    { "term", status.term },
    { "role", json::string(role.data(), role.size()) },
    { "stored", ToJson(status.stored) },
    { "applied", ToJson(status.applied) },
    { "replicas_stored", std::move(replicas) },
    { "connections", counts.connections },
    { "peak_connections", counts.peakConnections },
    { "slots_in_use", counts.slotsInUse },
    { "peak_slots", counts.peakSlots },
    { "statements", counts.statementsRun },
    { "log_length", status.stored.index },
  };
  return json::serialize(state);
}

json::array
RowToJson(const row_view& aRow, std::size_t& aBytes)
{
  json::array cells;
  for (int column = 0; column < aRow.size(); ++column) {
    const auto value = aRow.Cell(column);
    if (value) {
      aBytes += value->size();
      cells.emplace_back(json::string(value->data(), value->size()));
    } else {
      cells.emplace_back(nullptr);
    }
  }
  return cells;
}

// Runs a read-only query on the committed data.
sql_outcome
Dump(server& aServer, const std::string& aSql, std::string& aText)
{
  auto& data = aServer.Data().Committed();
  const statement_shape* shape = nullptr;
  if (auto error = data.Describe(aSql, shape)) {
    return error;
  }
  if (shape->changesData) {
    return ReadOnly();
  }
  json::array columns;
  for (const auto& name : shape->columns) {
    columns.emplace_back(name);
  }
  json::array rows;
  std::size_t bytes = 0;
  std::uint64_t affected = 0;
  const auto sink = [&](const row_view& aRow) {
    rows.emplace_back(RowToJson(aRow, bytes));
    return bytes <= kDumpLimit;
  };
  if (auto error = data.Run(aSql, {}, sink, affected)) {
    return error;
  }
  const json::object dump = { { "columns", std::move(columns) },
                              { "rows", std::move(rows) } };
  aText = json::serialize(dump);
  return std::nullopt;
}

call_status
AnswerDump(server& aServer,
           const std::vector<query_item>& aQuery,
           std::string& aText)
{
  if (aQuery.size() != 1 || aQuery.front().name != "sql") {
    aText = R"({"error":"sql is missing"})";
    return call_status::kInvalid;
  }
  if (const auto error = Dump(aServer, aQuery.front().value, aText)) {
    const json::object body = { { "error", error->message },
                                { "sql_state", error->state } };
    aText = json::serialize(body);
    return call_status::kInvalid;
  }
  return call_status::kDone;
}

call_status
AnswerFault(server& aServer,
            const std::vector<query_item>& aQuery,
            std::string& aText)
{
  auto ordered = aServer.Faults();
  for (const auto& [name, value] : aQuery) {
    if (!ordered.Set(name, value)) {
      const json::object body = { { "error", "unknown fault " + name } };
      aText = json::serialize(body);
      return call_status::kInvalid;
    }
  }
  aServer.SetFaults(std::move(ordered));
  aText = StateText(aServer);
  return call_status::kDone;
}

} // namespace

call_result
AnswerCall(server& aServer, bool aIsPost, std::string_view aTarget)
{
  const auto mark = std::min(aTarget.find('?'), aTarget.size());
  const auto path = aTarget.substr(0, mark);
  const auto query =
    ReadQuery(aTarget.substr(std::min(mark + 1, aTarget.size())));
  call_result result;
  if (path == "/state" && !aIsPost) {
    result.text = StateText(aServer);
  } else if (path == "/dump" && !aIsPost) {
    result.status = AnswerDump(aServer, query, result.text);
  } else if (path == "/fault" && aIsPost) {
    result.status = AnswerFault(aServer, query, result.text);
  } else {
    result = { call_status::kUnknown, R"({"error":"unknown call"})" };
  }
  return result;
}

} // namespace currantshed::standin::postgres

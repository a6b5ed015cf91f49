#include "standin/upstream/control.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "standin/upstream/server.hpp"

namespace currantshed::standin::postgres {

namespace {

namespace http = boost::beast::http;
namespace json = boost::json;
using boost::asio::ip::tcp;
using boost::system::error_code;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

constexpr std::size_t kDumpLimit = std::size_t{ 64 } << 20U;
constexpr std::chrono::seconds kTimeout{ 10 };

struct query_item
{
  std::string name;
  std::string value;
};

// Undoes the encoding of a URL's query: %XX, and + for a space.
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

// Runs a query on the committed data.
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

http::status
AnswerDump(server& aServer,
           const std::vector<query_item>& aQuery,
           std::string& aText)
{
  if (aQuery.size() != 1 || aQuery.front().name != "sql") {
    aText = R"({"error":"sql is missing"})";
    return http::status::bad_request;
  }
  if (const auto error = Dump(aServer, aQuery.front().value, aText)) {
    const json::object body = { { "error", error->message },
                                { "sql_state", error->state } };
    aText = json::serialize(body);
    return http::status::bad_request;
  }
  return http::status::ok;
}

http::status
AnswerFault(server& aServer,
            const std::vector<query_item>& aQuery,
            std::string& aText)
{
  auto ordered = aServer.Faults();
  for (const auto& [name, value] : aQuery) {
    if (!ordered.Set(name, value)) {
      const json::object body = { { "error", "unknown fault " + name } };
      aText = json::serialize(body);
      return http::status::bad_request;
    }
  }
  aServer.SetFaults(std::move(ordered));
  aText = StateText(aServer);
  return http::status::ok;
}

response
Answer(server& aServer, const request& aRequest)
{
  const std::string_view target(aRequest.target().data(),
                                aRequest.target().size());
  const auto mark = std::min(target.find('?'), target.size());
  const auto path = target.substr(0, mark);
  const auto query =
    ReadQuery(target.substr(std::min(mark + 1, target.size())));
  response answer;
  answer.version(aRequest.version());
  answer.set(http::field::content_type, "application/json");
  answer.keep_alive(false);
  if (path == "/state" && aRequest.method() == http::verb::get) {
    answer.body() = StateText(aServer);
  } else if (path == "/dump" && aRequest.method() == http::verb::get) {
    answer.result(AnswerDump(aServer, query, answer.body()));
  } else if (path == "/fault" && aRequest.method() == http::verb::post) {
    answer.result(AnswerFault(aServer, query, answer.body()));
  } else {
    answer.result(http::status::not_found);
    answer.body() = R"({"error":"unknown call"})";
  }
  answer.prepare_payload();
  return answer;
}

// One request and its answer.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
  exchange(server& aServer, tcp::socket aSocket)
    : mServer(aServer)
    , mStream(std::move(aSocket))
  {
  }

  void Start()
  {
    mStream.expires_after(kTimeout);
    http::async_read(
      mStream,
      mBuffer,
      mRequest,
      [self = shared_from_this()](error_code aError, std::size_t /*aSize*/) {
        if (!aError) {
          self->Reply();
        }
      });
  }

private:
  void Reply()
  {
    mResponse = Answer(mServer, mRequest);
    http::async_write(mStream,
                      mResponse,
                      [self = shared_from_this()](error_code /*aError*/,
                                                  std::size_t /*aSize*/) {
                        error_code ignored;
                        self->mStream.socket().shutdown(
                          tcp::socket::shutdown_send, ignored);
                      });
  }

  server& mServer;
  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer;
  request mRequest;
  response mResponse;
};

} // namespace

class control::listener
{
public:
  listener(boost::asio::io_context& aContext,
           server& aServer,
           const tcp::endpoint& aLocal)
    : mServer(aServer)
    , mAcceptor(aContext, aLocal)
  {
  }

  void Accept()
  {
    mAcceptor.async_accept([this](error_code aError, tcp::socket aSocket) {
      if (aError == boost::asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        std::make_shared<exchange>(mServer, std::move(aSocket))->Start();
      }
      Accept();
    });
  }

private:
  server& mServer;
  tcp::acceptor mAcceptor;
};

control::control(boost::asio::io_context& aContext,
                 server& aServer,
                 const std::string& aAddress,
                 std::uint16_t aPort)
  : mListener(std::make_unique<listener>(
      aContext,
      aServer,
      tcp::endpoint(boost::asio::ip::make_address(aAddress), aPort)))
{
}

control::~control() = default;

void
control::Start()
{
  mListener->Accept();
}

} // namespace currantshed::standin::postgres

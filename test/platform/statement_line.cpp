#include "platform/statement_line.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "currantshed/node/line_splitter.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using proxy::command_kind;
using proxy::failure_code;
using proxy::statement_kind;

namespace {

struct caller_row
{
  const char* line;
  /// Whether the statement is known; none if the line is not a message.
  std::optional<bool> known;
  statement_kind kind = statement_kind::kRead;
  const char* id = "";
  const char* name = "";
  /// None if nothing follows the name.
  std::optional<std::string> argument = std::nullopt;
};

const caller_row kCallerRows[] = {
  { "QUERY 5c READ 1a4", true, statement_kind::kRead, "5c" },
  { "QUERY 5c WRITE 1a4 xk  p", true, statement_kind::kWrite, "5c" },
  { "QUERY 5c BEGIN", true, statement_kind::kBegin, "5c" },
  { "QUERY 5c BEGIN READ", true, statement_kind::kBeginReadOnly, "5c" },
  { "QUERY 5c COMMIT", true, statement_kind::kCommit, "5c" },
  { "QUERY 5c ROLLBACK", true, statement_kind::kRollback, "5c" },
  { "QUERY 5c SET n v w", true, statement_kind::kSet, "5c", "n", "v w" },
  { "QUERY 5c PREPARE s READ q",
    true,
    statement_kind::kPrepare,
    "5c",
    "s",
    "q" },
  { "QUERY 5c EXECUTE s 1a4 x",
    true,
    statement_kind::kExecute,
    "5c",
    "s",
    "1a4 x" },
  { "QUERY 5c DEALLOC s", true, statement_kind::kDeallocate, "5c", "s" },
  { "QUERY 5c BEGIN WRITE", false },
  { "QUERY 5c PREPARE s SCAN q", false },
  { "QUERY 5c AFTERLSN 1.2 READ x", false },
  { "QUERY 5c RESET", false },
  { "QUERY 5c STATUS", false },
  { "QUERY 5c PAUSE 9", false },
  { "QUERY 5c COMMIT now", false },
  { "QUERY 5c", false },
  { "QUERY - READ x", false },
  { "QUERY  READ x", std::nullopt },
  { "QUERY", std::nullopt },
  { "START a b", std::nullopt },
  { "", std::nullopt },
  { " QUERY 5c READ x", std::nullopt },
};

struct report_row
{
  const char* row;
  bool good;
};

constexpr report_row kReportRows[] = {
  { "replica 3 3.1209 0 12 2 17", true },
  { "primary 3 3.1209 4 0 2 17", true },
  { "replica 3 - 0 12 2 17", true },
  { "leader 3 3.1209 0 12 2 17", false },
  { "replica x 3.1209 0 12 2 17", false },
  { "replica -3 3.1209 0 12 2 17", false },
  { "replica 3 3.1209 0 12 2", false },
  { "replica 99999999999999999999999 3.1 0 1 2 3", false },
  { "", false },
};

const platform::statement_line_codec kCodec;

} // namespace

TEST_GROUP(statement_line){};

TEST(statement_line, reads_callers)
{
  for (const auto& row : kCallerRows) {
    const auto read = kCodec.ReadCaller(row.line);
    CHECK_TEXT(read.has_value() == row.known.has_value(), row.line);
    if (!read || !*row.known) {
      CHECK_TEXT(!read || !read->isKnown, row.line);
      continue;
    }
    CHECK_TEXT(read->isKnown, row.line);
    CHECK_TEXT(read->asked.kind == row.kind, row.line);
    CHECK_TEXT(read->asked.id == row.id, row.line);
    CHECK_TEXT(read->asked.name == row.name, row.line);
    CHECK_TEXT(read->asked.argument == row.argument, row.line);
  }
  CHECK(kCodec.ReadCaller("TERMINATE")->ends);
}

TEST(statement_line, reads_sessions)
{
  const auto start = kCodec.ReadStart("START lepu270 u3f1 x");
  CHECK(start && start->database == "lepu270" && start->key == "u3f1 x");
  CHECK(!kCodec.ReadStart("START"));
  CHECK(!kCodec.ReadStart("QUERY 1 READ x"));
  CHECK(!kCodec.ReadRelayStart("START svc tenant"));
  CHECK(kCodec.ReadRelayStart("START svc tenant i-7f")->server == "i-7f");
}

TEST(statement_line, reads_servers)
{
  const auto ready = kCodec.ReadServer("READY T 3.1209");
  CHECK(ready && std::holds_alternative<node::server_ready>(*ready));
  CHECK((std::get<node::server_ready>(*ready).at ==
         position::log_position{ 3, 1209 }));
  const auto error = kCodec.ReadServer("ERROR READONLY i-7f");
  CHECK(std::get<node::server_error>(*error).why.code ==
        failure_code::kReadOnly);
  const auto unknown = kCodec.ReadServer("ERROR ODD thing");
  CHECK(std::get<node::server_error>(*unknown).why.text == "ODD thing");
  for (const char* wrong :
       { "", "READY", "READY X 1.1", "DATA x", "ready I -" }) {
    CHECK_TEXT(!kCodec.ReadServer(wrong), wrong);
  }
}

TEST(statement_line, reads_reports)
{
  for (const auto& row : kReportRows) {
    CHECK_TEXT(kCodec.ReadReport(row.row).has_value() == row.good, row.row);
  }
}

TEST(statement_line, writes_answers)
{
  proxy::answer made;
  made.rows = { "a b", "c" };
  made.signature = "7.1f";
  made.position = position::log_position{ 3, 1209 };
  std::string out;
  kCodec.WriteAnswer(made, out);
  STRCMP_EQUAL(
    "DATAROW a b\r\nDATAROW c\r\nCOMPLETE 7.1f\r\nREADY I 3.1209\r\n",
    out.c_str());
  made = {};
  made.failed = proxy::failure{ failure_code::kInDoubt, "why" };
  made.state = proxy::transaction_state::kFailed;
  out.clear();
  kCodec.WriteAnswer(made, out);
  STRCMP_EQUAL("ERROR INDOUBT why\r\nREADY E -\r\n", out.c_str());
}

// Servers receive the customer's name; sessions of this system itself use a
// fixed word.
TEST(statement_line, sessions_at_servers_name_the_customer)
{
  proxy::server server;
  server.service = "svc";
  server.id = "i-7f";
  std::string out;
  kCodec.WriteServerStart(server, "baker", out);
  STRCMP_EQUAL("START svc baker i-7f\r\n", out.c_str());
  out.clear();
  kCodec.WriteServerStart(server, "", out);
  STRCMP_EQUAL("START svc currantshed i-7f\r\n", out.c_str());
}

struct relayed_row
{
  const char* line;
  const char* customer;
  bool isKnown;
};

constexpr relayed_row kRelayedRows[] = {
  { "FOR baker QUERY 7 READ x", "baker", true },
  { "FOR baker QUERY 7 AFTERLSN 1.2 READ x", "baker", true },
  { "QUERY 7 READ x", "", true },
};

TEST(statement_line, relayed_commands_name_the_customer)
{
  for (const auto& row : kRelayedRows) {
    const auto read = kCodec.ReadRelayed(row.line);
    CHECK_TEXT(read && read->isKnown == row.isKnown, row.line);
    STRCMP_EQUAL_TEXT(row.customer, read->asked.customer.c_str(), row.line);
  }
  for (const char* wrong : { "FOR", "FOR baker", "FOR QUERY 7 READ x" }) {
    CHECK_TEXT(!kCodec.ReadRelayed(wrong), wrong);
  }
  proxy::command command;
  command.id = "7";
  command.text = "READ x";
  command.customer = "baker";
  std::string out;
  kCodec.WriteRelayed(command, out);
  STRCMP_EQUAL("FOR baker QUERY 7 READ x\r\n", out.c_str());
}

struct attributes_row
{
  const char* name;
  proxy::request_attributes attributes;
  const char* line;
};

constexpr attributes_row kAttributesRows[] = {
  { "a write in time",
    { 0, 180ms, 990ms, 0, true },
    "ATTR 0 180 990 0 P FOR baker QUERY 7 READ x\r\n" },
  { "a late read, tried before",
    { 2, -40ms, 700ms, 1, false },
    "ATTR 2 -40 700 1 A FOR baker QUERY 7 READ x\r\n" },
};

TEST(statement_line, relayed_commands_carry_attributes)
{
  for (const auto& row : kAttributesRows) {
    proxy::command command;
    command.id = "7";
    command.text = "READ x";
    command.customer = "baker";
    command.attributes = row.attributes;
    std::string out;
    kCodec.WriteRelayed(command, out);
    STRCMP_EQUAL_TEXT(row.line, out.c_str(), row.name);
    const auto read =
      kCodec.ReadRelayed(std::string_view(out).substr(0, out.size() - 2));
    CHECK_TEXT(read && read->asked.attributes == row.attributes, row.name);
    STRCMP_EQUAL_TEXT("baker", read->asked.customer.c_str(), row.name);
    STRCMP_EQUAL_TEXT("READ x", read->asked.text.c_str(), row.name);
  }
  for (const char* wrong : { "ATTR",
                             "ATTR 0 180 990 0 QUERY 7 READ x",
                             "ATTR 0 180 990 0 X QUERY 7 READ x",
                             "ATTR -1 180 990 0 P QUERY 7 READ x",
                             "ATTR 0 soon 990 0 P QUERY 7 READ x" }) {
    CHECK_TEXT(!kCodec.ReadRelayed(wrong), wrong);
  }
}

struct ready_row
{
  const char* line;
  bool readsAttributes;
  std::optional<position::log_position> at;
  std::optional<proxy::server_load> load;
};

const ready_row kReadyRows[] = {
  { "READY I -", false, std::nullopt, std::nullopt },
  { "READY I - ATTR", true, std::nullopt, std::nullopt },
  { "READY I 3.7", false, position::log_position{ 3, 7 }, std::nullopt },
  { "READY I 3.7 LOAD 45 3 12 250 30",
    false,
    position::log_position{ 3, 7 },
    proxy::server_load{ 45ms, 3, 12, 250, 30ms } },
  { "READY I 3.7 LOAD 45", false, position::log_position{ 3, 7 }, {} },
};

TEST(statement_line, reads_what_a_relay_adds)
{
  for (const auto& row : kReadyRows) {
    const auto read = kCodec.ReadServer(row.line);
    CHECK_TEXT(read.has_value(), row.line);
    const auto& ready = std::get<node::server_ready>(*read);
    CHECK_TEXT(ready.readsAttributes == row.readsAttributes, row.line);
    CHECK_TEXT(ready.at == row.at, row.line);
    CHECK_TEXT(ready.load == row.load, row.line);
  }
  proxy::answer made;
  made.signature = "7.1f";
  made.position = position::log_position{ 3, 7 };
  made.load = proxy::server_load{ 45ms, 3, 12, 250, 30ms };
  std::string out;
  kCodec.WriteRelayedAnswer(made, out);
  STRCMP_EQUAL("COMPLETE 7.1f\r\nREADY I 3.7 LOAD 45 3 12 250 30\r\n",
               out.c_str());
  out.clear();
  kCodec.WriteAnswer(made, out);
  STRCMP_EQUAL("COMPLETE 7.1f\r\nREADY I 3.7\r\n", out.c_str());
}

TEST(statement_line, a_key_that_is_not_known_is_no_promise)
{
  std::string out;
  kCodec.WriteRefusedStart({ failure_code::kNotAuthorized, "why" }, out);
  STRCMP_EQUAL("ERROR NOAUTH why\r\n", out.c_str());
}

// Commands that a VM sends to another VM in place of a server are parsed as the
// same commands.
TEST(statement_line, relayed_commands_come_back)
{
  const std::pair<proxy::command, statement_kind> rows[] = {
    { { .kind = command_kind::kBegin }, statement_kind::kBegin },
    { { .kind = command_kind::kBeginReadOnly,
        .floor = position::log_position{ 2, 5 } },
      statement_kind::kBeginReadOnly },
    { { .kind = command_kind::kRollback }, statement_kind::kRollback },
    { { .kind = command_kind::kReset }, statement_kind::kReset },
    { { .kind = command_kind::kSet, .name = "n", .argument = "v" },
      statement_kind::kSet },
    { { .kind = command_kind::kPrepare,
        .name = "n",
        .argument = "q",
        .writes = true },
      statement_kind::kPrepare },
    { { .kind = command_kind::kExecute,
        .id = "7",
        .floor = position::log_position{ 2, 5 },
        .name = "n",
        .argument = "x" },
      statement_kind::kExecute },
    { { .kind = command_kind::kVerbatim, .id = "7", .text = "READ x" },
      statement_kind::kRead },
  };
  for (const auto& [command, kind] : rows) {
    std::string line;
    kCodec.WriteCommand(command, line);
    CHECK(line.ends_with("\r\n"));
    line.resize(line.size() - 2);
    const auto read = kCodec.ReadRelayed(line);
    CHECK_TEXT(read && read->isKnown, line.c_str());
    CHECK_TEXT(read->asked.kind == kind, line.c_str());
    CHECK_TEXT(read->asked.floor == command.floor, line.c_str());
    CHECK_TEXT(read->asked.name == command.name, line.c_str());
    CHECK_TEXT(read->asked.argument == command.argument, line.c_str());
    CHECK_TEXT(read->asked.writes == command.writes, line.c_str());
  }
}

namespace {

// The lines in the bytes, which must end with the last one.
std::vector<std::string>
LinesOf(const std::string& aBytes)
{
  node::line_splitter splitter;
  std::vector<std::string> lines;
  splitter.Add(aBytes);
  while (const auto line = splitter.Next()) {
    lines.emplace_back(line->text);
  }
  CHECK_FALSE(splitter.HasRest());
  return lines;
}

/// Writes a text into a message of the protocol, and reads it from its lines.
struct direction_row
{
  const char* name;
  std::function<void(const std::string&, std::string&)> write;
  std::function<std::string(const std::vector<std::string>&)> read;
};

proxy::command
Statement(const std::string& aText)
{
  proxy::command made;
  made.id = "7";
  made.text = "WRITE x " + aText;
  return made;
}

proxy::answer
Row(const std::string& aText)
{
  proxy::answer made;
  made.rows = { aText };
  made.signature = "7.1f";
  return made;
}

proxy::answer
Failure(failure_code aCode, const std::string& aText)
{
  proxy::answer made;
  made.failed = proxy::failure{ aCode, aText };
  return made;
}

std::string
RowIn(const std::vector<std::string>& aLines)
{
  LONGS_EQUAL(3, aLines.size());
  return std::get<node::server_row>(*kCodec.ReadServer(aLines.front())).content;
}

std::string
ErrorIn(const std::vector<std::string>& aLines)
{
  LONGS_EQUAL(2, aLines.size());
  return std::get<node::server_error>(*kCodec.ReadServer(aLines.front()))
    .why.text;
}

std::string
StatementIn(const std::string& aText)
{
  return aText.substr(std::string("WRITE x ").size());
}

const direction_row kDirections[] = {
  { "a statement to a server",
    [](const std::string& aText, std::string& aOut) {
      kCodec.WriteCommand(Statement(aText), aOut);
    },
    [](const std::vector<std::string>& aLines) {
      LONGS_EQUAL(1, aLines.size());
      return StatementIn(kCodec.ReadCaller(aLines.front())->asked.text);
    } },
  { "a relayed statement",
    [](const std::string& aText, std::string& aOut) {
      auto command = Statement(aText);
      command.customer = "baker";
      command.floor = position::log_position{ 1, 2 };
      command.attributes = proxy::request_attributes{};
      kCodec.WriteRelayed(command, aOut);
    },
    [](const std::vector<std::string>& aLines) {
      LONGS_EQUAL(1, aLines.size());
      return StatementIn(kCodec.ReadRelayed(aLines.front())->asked.text);
    } },
  { "a row",
    [](const std::string& aText, std::string& aOut) {
      kCodec.WriteAnswer(Row(aText), aOut);
    },
    RowIn },
  { "a relayed row",
    [](const std::string& aText, std::string& aOut) {
      kCodec.WriteRelayedAnswer(Row(aText), aOut);
    },
    RowIn },
  { "an error text",
    [](const std::string& aText, std::string& aOut) {
      kCodec.WriteAnswer(Failure(failure_code::kFailed, aText), aOut);
    },
    ErrorIn },
  { "an error text under an unknown code",
    [](const std::string& aText, std::string& aOut) {
      kCodec.WriteAnswer(Failure(failure_code::kOther, "ODD " + aText), aOut);
    },
    [](const std::vector<std::string>& aLines) {
      return ErrorIn(aLines).substr(std::string("ODD ").size());
    } },
  { "a relayed error text",
    [](const std::string& aText, std::string& aOut) {
      kCodec.WriteRelayedAnswer(Failure(failure_code::kFailed, aText), aOut);
    },
    ErrorIn },
};

constexpr const char* kTexts[] = {
  "a",
  "a\nb",
  "\n",
  "\n\na",
  "a\n",
  "a\r",
  "\ra\r\r",
  "a\n\rb",
  " a  b ",
  "a\nQUERY 8 WRITE y z",
  "a\nREADY I 9.9",
};

} // namespace

namespace {

struct argument_row
{
  const char* name;
  const char* text;
};

constexpr argument_row kArgumentRows[] = {
  { "a value", "SET n v" },
  { "an empty value", "SET n " },
  { "no value", "SET n" },
  { "a shape", "PREPARE n READ q" },
  { "an empty shape", "PREPARE n READ " },
  { "no shape", "PREPARE n WRITE" },
  { "arguments", "EXECUTE n 1 2" },
  { "empty arguments", "EXECUTE n " },
  { "no arguments", "EXECUTE n" },
};

constexpr argument_row kErrorRows[] = {
  { "a text", "ERROR FAILED why" },
  { "no text", "ERROR FAILED" },
  { "an unknown code", "ERROR ODD why" },
  { "an unknown code without a text", "ERROR ODD" },
};

} // namespace

// A statement without arguments was sent to the server with a blank at its end.
TEST(statement_line, a_missing_argument_is_not_an_empty_one)
{
  for (const auto& row : kArgumentRows) {
    const auto read = kCodec.ReadCaller(std::string("QUERY 7 ") + row.text);
    CHECK_TEXT(read && read->isKnown, row.name);
    proxy::command command;
    command.id = "7";
    command.kind = read->asked.kind == statement_kind::kSet ? command_kind::kSet
                   : read->asked.kind == statement_kind::kPrepare
                     ? command_kind::kPrepare
                     : command_kind::kExecute;
    command.name = read->asked.name;
    command.argument = read->asked.argument;
    command.writes = read->asked.writes;
    std::string out;
    kCodec.WriteCommand(command, out);
    STRCMP_EQUAL_TEXT((std::string("QUERY 7 ") + row.text + "\r\n").c_str(),
                      out.c_str(),
                      row.name);
  }
}

TEST(statement_line, errors_of_servers_are_passed_on_as_they_came)
{
  for (const auto& row : kErrorRows) {
    const auto read = kCodec.ReadServer(row.text);
    proxy::answer made;
    made.failed = std::get<node::server_error>(*read).why;
    std::string out;
    kCodec.WriteAnswer(made, out);
    STRCMP_EQUAL_TEXT((std::string(row.text) + "\r\nREADY I -\r\n").c_str(),
                      out.c_str(),
                      row.name);
  }
}

// A text with a line feed was cut, and its rest taken for another message.
TEST(statement_line, texts_of_several_lines_are_one_message_in_all_directions)
{
  for (const auto& direction : kDirections) {
    for (const auto* text : kTexts) {
      std::string bytes;
      direction.write(text, bytes);
      STRCMP_EQUAL_TEXT(
        text, direction.read(LinesOf(bytes)).c_str(), direction.name);
    }
  }
}

#include "currantshed/load/message.hpp"

#include <chrono>
#include <string>

#include <CppUTest/TestHarness.h>

namespace load = currantshed::load;
using load::change_outcome;

namespace {

struct answer_row
{
  const char* name;
  const char* body;
  change_outcome outcome;
  const char* reason;
  const char* value;
  bool replica;
  bool repeated;
  const char* transaction;
  int retryAfterMs;
};

const answer_row kAnswerRows[] = {
  { "done read by a replica",
    R"({"outcome":"done","replica":true,"results":[{"rows":[["7"]]}]})",
    change_outcome::kDone,
    "",
    "7",
    true,
    false,
    "",
    0 },
  { "value of the last result counts",
    R"({"outcome":"done","results":[{"rows":[[1]]},{"rows":[[2]]}]})",
    change_outcome::kDone,
    "",
    "2",
    false,
    false,
    "",
    0 },
  { "NULL is not a value",
    R"({"outcome":"done","results":[{"rows":[[null]]}]})",
    change_outcome::kDone,
    "",
    "-",
    false,
    false,
    "",
    0 },
  { "two rows are not a single value",
    R"({"outcome":"done","results":[{"rows":[["1"],["2"]]}]})",
    change_outcome::kDone,
    "",
    "-",
    false,
    false,
    "",
    0 },
  { "not run with a retry delay",
    R"({"outcome":"not_run","reason":"overloaded","retry_after_ms":120})",
    change_outcome::kNotRun,
    "overloaded",
    "-",
    false,
    false,
    "",
    120 },
  { "repeated key",
    R"({"outcome":"done","repeated":true})",
    change_outcome::kDone,
    "",
    "-",
    false,
    true,
    "",
    0 },
  { "transaction by text",
    R"({"outcome":"done","transaction":"t-1"})",
    change_outcome::kDone,
    "",
    "-",
    false,
    false,
    "t-1",
    0 },
  { "transaction by number",
    R"({"outcome":"done","transaction":17})",
    change_outcome::kDone,
    "",
    "-",
    false,
    false,
    "17",
    0 },
  { "unknown",
    R"({"outcome":"unknown","ask":"/v1/outcomes/g/k"})",
    change_outcome::kUnknown,
    "",
    "-",
    false,
    false,
    "",
    0 },
  { "an unknown outcome name",
    R"({"outcome":"perhaps"})",
    change_outcome::kUnknown,
    "",
    "-",
    false,
    false,
    "",
    0 },
  { "invalid JSON",
    "<html>",
    change_outcome::kUnknown,
    "",
    "-",
    false,
    false,
    "",
    0 },
  { "no body", "", change_outcome::kUnknown, "", "-", false, false, "", 0 },
  { "fields of a wrong type",
    R"({"outcome":1,"replica":"x","results":{},"retry_after_ms":"z"})",
    change_outcome::kUnknown,
    "",
    "-",
    false,
    false,
    "",
    0 },
};

} // namespace

TEST_GROUP(load_message){};

TEST(load_message, answers)
{
  for (const auto& row : kAnswerRows) {
    const auto read = load::ReadAnswer(row.body);
    CHECK_TEXT(read.outcome == row.outcome, row.name);
    STRCMP_EQUAL_TEXT(row.reason, read.reason.c_str(), row.name);
    const auto value = load::SingleValue(read).value_or("-");
    STRCMP_EQUAL_TEXT(row.value, value.c_str(), row.name);
    CHECK_TEXT(read.replica == row.replica, row.name);
    CHECK_TEXT(read.repeated == row.repeated, row.name);
    STRCMP_EQUAL_TEXT(row.transaction, read.transaction.c_str(), row.name);
    LONGS_EQUAL_TEXT(row.retryAfterMs, read.retryAfter.count(), row.name);
  }
}

TEST(load_message, body_within_a_transaction)
{
  const auto body = load::MakeBody({}, {}, { { "SELECT 1", {} } });
  STRCMP_EQUAL(R"({"statements":[{"sql":"SELECT 1","params":[]}]})",
               body.c_str());
}

TEST(load_message, body)
{
  const auto body =
    load::MakeBody("report", "claims-1", { { "SELECT $1", { "a\"b" } } });
  STRCMP_EQUAL(R"({"class":"report","group":"claims-1","statements":)"
               R"([{"sql":"SELECT $1","params":["a\"b"]}]})",
               body.c_str());
}

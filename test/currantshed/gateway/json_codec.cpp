#include "currantshed/gateway/json_codec.hpp"

#include <chrono>
#include <string>
#include <system_error>

#include "currantshed/gateway/caller.hpp"
#include "currantshed/gateway/error.hpp"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace currantshed::gateway;
using currantshed::outcome::reason;
using currantshed::outcome::verdict;

namespace {

struct good_row
{
  const char* name;
  call_kind kind;
  const char* body;
  /// Each statement, with its parameters in brackets.
  const char* expect;
};

const good_row kGoodRows[] = {
  { "one statement",
    call_kind::kStatements,
    R"({"class":"c","group":"g","sql":"SELECT 1"})",
    "SELECT 1" },
  { "parameters of each kind",
    call_kind::kStatements,
    R"({"class":"c","group":"g","sql":"s",
        "params":["a",-1,18446744073709551615,2.5,true,false,null]})",
    "s[a][-1][18446744073709551615][2.5E0][true][false][null]" },
  { "escapes and other scripts",
    call_kind::kStatements,
    R"({"class":"c","group":"g","sql":"s","params":["\u00e4\n\"\ud83d\ude00"]})",
    "s[\xc3\xa4\n\"\xf0\x9f\x98\x80]" },
  { "several statements",
    call_kind::kStatements,
    R"({"class":"c","group":"g",
        "statements":[{"sql":"a","params":[1]},{"sql":"b"}]})",
    "a[1]b" },
  { "transaction without statements",
    call_kind::kBegin,
    R"({"class":"c","group":"g"})",
    "" },
  { "statement in a transaction",
    call_kind::kStatement,
    R"({"sql":"a"})",
    "a" },
  { "commit without a body", call_kind::kCommit, "", "" },
  { "commit with an empty object", call_kind::kCommit, "{}", "" },
};

struct bad_row
{
  const char* name;
  call_kind kind;
  const char* body;
  gateway_error expect;
  const char* detail;
};

const bad_row kBadRows[] = {
  { "empty",
    call_kind::kStatements,
    "",
    gateway_error::kMalformedBody,
    "incomplete JSON at byte 0" },
  { "broken",
    call_kind::kStatements,
    R"({"class":,)",
    gateway_error::kMalformedBody,
    "syntax error at byte 9" },
  { "cut off",
    call_kind::kStatements,
    R"({"class":"c")",
    gateway_error::kMalformedBody,
    "incomplete JSON at byte 12" },
  { "something after the end",
    call_kind::kCommit,
    "{} {}",
    gateway_error::kMalformedBody,
    "extra data at byte 3" },
  { "not an object",
    call_kind::kStatements,
    "[]",
    gateway_error::kMalformedBody,
    "the body must be an object" },
  { "too deep",
    call_kind::kStatements,
    "[[[[[[[[[[]]]]]]]]]]",
    gateway_error::kMalformedBody,
    "too deep at byte 8" },
  { "no class",
    call_kind::kStatements,
    R"({"group":"g","sql":"s"})",
    gateway_error::kMissingField,
    "class" },
  { "no group",
    call_kind::kBegin,
    R"({"class":"c"})",
    gateway_error::kMissingField,
    "group" },
  { "unknown field",
    call_kind::kStatements,
    R"({"class":"c","group":"g","sql":"s","weight":3})",
    gateway_error::kUnknownField,
    "weight" },
  { "class where the transaction gives it",
    call_kind::kStatement,
    R"({"class":"c","sql":"s"})",
    gateway_error::kUnknownField,
    "class" },
  { "statement in a commit",
    call_kind::kCommit,
    R"({"sql":"s"})",
    gateway_error::kUnknownField,
    "sql" },
  { "statements beside sql",
    call_kind::kStatements,
    R"({"class":"c","group":"g","sql":"s","statements":[]})",
    gateway_error::kUnknownField,
    "statements goes without sql and params" },
  { "parameters without sql",
    call_kind::kStatements,
    R"({"class":"c","group":"g","params":[]})",
    gateway_error::kMissingField,
    "sql" },
  { "class of another kind",
    call_kind::kStatements,
    R"({"class":1,"group":"g","sql":"s"})",
    gateway_error::kMalformedBody,
    "class must be a string" },
  { "statement without sql",
    call_kind::kStatements,
    R"({"class":"c","group":"g","statements":[{"sql":"a"},{"params":[]}]})",
    gateway_error::kMissingField,
    "sql in statement 2" },
  { "array as a parameter",
    call_kind::kStatements,
    R"({"class":"c","group":"g","sql":"s","params":[1,[]]})",
    gateway_error::kParameterKind,
    "parameter $2" },
  { "NUL in a parameter",
    call_kind::kStatements,
    R"({"class":"c","group":"g","sql":"s","params":["\u0000"]})",
    gateway_error::kParameterKind,
    "parameter $1" },
};

std::string
Describe(const caller_request& aRequest)
{
  std::string text;
  for (const auto& statement : aRequest.statements) {
    text += statement.sql;
    for (const auto& cell : statement.parameters) {
      text += "[" + cell.value_or("null") + "]";
    }
  }
  return text;
}

struct answer_row
{
  const char* name;
  void (*fill)(caller_answer&);
  unsigned status;
  const char* expect;
};

const answer_row kAnswerRows[] = {
  { "read",
    [](auto& aAnswer) {
      aAnswer.verdict = verdict::kDone;
      aAnswer.results = { { { "id", "note" }, { "1", {}, "2", "a\"b" }, 0 } };
      aAnswer.group = "claims";
      aAnswer.servedBy = "db-1";
      aAnswer.failureDomain = "depot";
      aAnswer.byReplica = true;
      aAnswer.session = "token";
    },
    200,
    R"({"outcome":"done","results":[{"columns":["id","note"],)"
    R"("rows":[["1",null],["2","a\"b"]],"affected":0}],"group":"claims",)"
    R"("served_by":"db-1","failure_domain":"depot","replica":true,)"
    R"("session":"token"})" },
  { "write repeated",
    [](auto& aAnswer) {
      aAnswer.verdict = verdict::kDone;
      aAnswer.repeated = true;
    },
    200,
    R"({"outcome":"done","results":[],"repeated":true})" },
  { "no columns",
    [](auto& aAnswer) {
      aAnswer.verdict = verdict::kDone;
      aAnswer.results = { { {}, {}, 3 } };
    },
    200,
    R"({"outcome":"done","results":[{"columns":[],"rows":[],"affected":3}]})" },
  { "not run",
    [](auto& aAnswer) { aAnswer = NotRun(reason::kOverloaded, 120ms); },
    503,
    R"({"outcome":"not_run","reason":"overloaded",)"
    R"("message":"there is no room for it before its deadline",)"
    R"("retry_after_ms":120})" },
  { "unknown",
    [](auto& aAnswer) {
      aAnswer.why = reason::kDeadline;
      aAnswer.outcomePath = "/v1/outcomes/g/k";
    },
    504,
    R"({"outcome":"unknown","reason":"deadline",)"
    R"("message":"the deadline has passed, or can't be met",)"
    R"("ask":"/v1/outcomes/g/k"})" },
  { "refused by the gateway",
    [](auto& aAnswer) { aAnswer = Refuse(gateway_error::kBadTokenSignature); },
    403,
    R"({"outcome":"refused","reason":"forged_token",)"
    R"("message":"the session's token has been changed"})" },
  { "refused by the database",
    [](auto& aAnswer) {
      aAnswer.verdict = verdict::kRefused;
      aAnswer.why = reason::kStatement;
      aAnswer.message = "syntax error";
      aAnswer.sqlState = "42601";
    },
    422,
    R"({"outcome":"refused","reason":"statement","message":"syntax error",)"
    R"("sql_state":"42601"})" },
  { "key used for another request",
    [](auto& aAnswer) {
      aAnswer.verdict = verdict::kRefused;
      aAnswer.why = reason::kKeyReused;
    },
    409,
    R"({"outcome":"refused","reason":"key_reused",)"
    R"("message":"the key was used before, for another request"})" },
};

} // namespace

TEST_GROUP(gateway_json_codec){};

TEST(gateway_json_codec, good_bodies)
{
  for (const auto& row : kGoodRows) {
    caller_request request;
    request.kind = row.kind;
    std::string detail;
    CHECK_TEXT(!ReadBody(row.body, request, detail), row.name);
    STRCMP_EQUAL_TEXT(row.expect, Describe(request).c_str(), row.name);
  }
}

TEST(gateway_json_codec, bad_bodies)
{
  for (const auto& row : kBadRows) {
    caller_request request;
    request.kind = row.kind;
    std::string detail;
    const std::error_code error = ReadBody(row.body, request, detail);
    STRCMP_EQUAL_TEXT(make_error_code(row.expect).message().c_str(),
                      error.message().c_str(),
                      row.name);
    STRCMP_EQUAL_TEXT(row.detail, detail.c_str(), row.name);
  }
}

TEST(gateway_json_codec, answers)
{
  for (const auto& row : kAnswerRows) {
    caller_answer answer;
    row.fill(answer);
    STRCMP_EQUAL_TEXT(row.expect, WriteAnswer(answer).c_str(), row.name);
    LONGS_EQUAL_TEXT(row.status, StatusOf(answer), row.name);
  }
}

TEST(gateway_json_codec, long_strings_are_whole)
{
  caller_answer answer;
  answer.verdict = verdict::kDone;
  const std::string cell(100000, 'x');
  answer.results = { { { "c" }, { cell }, 0 } };
  CHECK(WriteAnswer(answer).find("[[\"" + cell + "\"]]") != std::string::npos);
}

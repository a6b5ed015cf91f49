#include "currantshed/gateway/http_call.hpp"

#include <chrono>
#include <string>
#include <system_error>

#include "currantshed/gateway/caller.hpp"
#include "currantshed/gateway/error.hpp"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace currantshed::gateway;

namespace {

constexpr const char* kBody = R"({"class":"c","group":"g","sql":"s"})";

struct good_row
{
  const char* name;
  const char* method;
  const char* target;
  const char* body;
  call_kind kind;
  const char* group;
  const char* key;
  const char* transaction;
};

const good_row kGoodRows[] = {
  { "statements",
    "POST",
    "/v1/statements",
    kBody,
    call_kind::kStatements,
    "g",
    "",
    "" },
  { "query is ignored",
    "POST",
    "/v1/statements?trace=1",
    kBody,
    call_kind::kStatements,
    "g",
    "",
    "" },
  { "begin",
    "POST",
    "/v1/transactions",
    R"({"class":"c","group":"g"})",
    call_kind::kBegin,
    "g",
    "",
    "" },
  { "statement in a transaction",
    "POST",
    "/v1/transactions/abc_-/statements",
    R"({"sql":"s"})",
    call_kind::kStatement,
    "",
    "",
    "abc_-" },
  { "commit",
    "POST",
    "/v1/transactions/abc/commit",
    "",
    call_kind::kCommit,
    "",
    "",
    "abc" },
  { "rollback",
    "POST",
    "/v1/transactions/abc/rollback",
    "",
    call_kind::kRollback,
    "",
    "",
    "abc" },
  { "outcome, with an escaped group",
    "GET",
    "/v1/outcomes/claims%2fnorth%20/key",
    "",
    call_kind::kOutcome,
    "claims/north ",
    "key",
    "" },
};

struct bad_row
{
  const char* name;
  const char* method;
  const char* target;
  gateway_error expect;
};

const bad_row kBadRows[] = {
  { "nothing", "GET", "", gateway_error::kNotFound },
  { "root", "GET", "/", gateway_error::kNotFound },
  { "other version", "POST", "/v2/statements", gateway_error::kNotFound },
  { "no such call", "POST", "/v1/nonsense", gateway_error::kNotFound },
  { "too long", "POST", "/v1/statements/x", gateway_error::kNotFound },
  { "no such end", "POST", "/v1/transactions/x/y", gateway_error::kNotFound },
  { "id alone", "POST", "/v1/transactions/x", gateway_error::kNotFound },
  { "broken escape", "GET", "/v1/outcomes/g%2/k", gateway_error::kNotFound },
  { "wrong escape", "GET", "/v1/outcomes/g%zz/k", gateway_error::kNotFound },
  { "GET for POST", "GET", "/v1/statements", gateway_error::kMethodNotAllowed },
  { "POST for GET",
    "POST",
    "/v1/outcomes/g/k",
    gateway_error::kMethodNotAllowed },
};

struct deadline_row
{
  const char* name;
  const char* text;
  bool good;
};

const deadline_row kDeadlineRows[] = {
  { "milliseconds", "250", true },
  { "zero", "0", false },
  { "negative", "-1", false },
  { "a unit", "250ms", false },
  { "empty", "", false },
  { "a fraction", "2.5", false },
  { "too long", "99999999999", false },
};

} // namespace

TEST_GROUP(gateway_http_call){};

TEST(gateway_http_call, good)
{
  for (const auto& row : kGoodRows) {
    http_call call;
    call.method = row.method;
    call.target = row.target;
    call.body = row.body;
    call.session = "token";
    caller_request request;
    std::string detail;
    CHECK_TEXT(!ReadCall(call, request, detail), row.name);
    CHECK_TEXT(row.kind == request.kind, row.name);
    STRCMP_EQUAL_TEXT(row.group, request.group.c_str(), row.name);
    STRCMP_EQUAL_TEXT(row.key, request.key.c_str(), row.name);
    STRCMP_EQUAL_TEXT(row.transaction, request.transaction.c_str(), row.name);
    STRCMP_EQUAL_TEXT("token", request.session->c_str(), row.name);
  }
}

TEST(gateway_http_call, bad)
{
  for (const auto& row : kBadRows) {
    http_call call;
    call.method = row.method;
    call.target = row.target;
    call.body = kBody;
    caller_request request;
    std::string detail;
    CHECK_TEXT(ReadCall(call, request, detail) == make_error_code(row.expect),
               row.name);
  }
}

TEST(gateway_http_call, deadlines)
{
  for (const auto& row : kDeadlineRows) {
    http_call call;
    call.method = "POST";
    call.target = "/v1/statements";
    call.body = kBody;
    call.deadline = row.text;
    caller_request request;
    std::string detail;
    const auto error = ReadCall(call, request, detail);
    CHECK_EQUAL_TEXT(row.good, !error, row.name);
    CHECK_EQUAL_TEXT(row.good, request.deadline == 250ms, row.name);
  }
}

TEST(gateway_http_call, key)
{
  http_call call;
  call.method = "POST";
  call.target = "/v1/statements";
  call.body = kBody;
  call.key = "the key";
  caller_request request;
  std::string detail;
  CHECK(!ReadCall(call, request, detail));
  STRCMP_EQUAL("the key", request.key.c_str());
  call.key = "";
  CHECK(ReadCall(call, request, detail) ==
        make_error_code(gateway_error::kMalformedKey));
}

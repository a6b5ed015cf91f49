#include "currantshed/store/consul_responses.hpp"

#include <string>
#include <system_error>

#include "currantshed/store/errors.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::group::description;
using currantshed::store::entry;
using currantshed::store::errc;
using currantshed::store::http_response;
using currantshed::store::KeyTarget;
using currantshed::store::ReadEntry;
using currantshed::store::ReadGroups;
using currantshed::store::ReadSwap;
using currantshed::store::ReadVms;
using currantshed::store::swap_outcome;
using currantshed::store::vm;

namespace {

http_response
Response(int aStatus, const std::string& aBody)
{
  http_response response;
  response.status = aStatus;
  response.body = aBody;
  return response;
}

http_response
Failure(errc aError)
{
  http_response response;
  response.error = aError;
  return response;
}

struct entry_row
{
  const char* name;
  http_response given;
  std::error_code error;
  const char* value;
  std::uint64_t version;
};

const entry_row kEntryRows[] = {
  { "a key",
    Response(200, R"([{"Value":"YWJj","ModifyIndex":7,"Key":"k"}])"),
    {},
    "abc",
    7 },
  { "an empty value is null",
    Response(200, R"([{"Value":null,"ModifyIndex":7}])"),
    {},
    "",
    7 },
  { "no such key", Response(404, ""), {}, "", 0 },
  { "down", Failure(errc::kUnreachable), errc::kUnreachable, "", 0 },
  { "late", Failure(errc::kTimeout), errc::kTimeout, "", 0 },
  { "failing", Response(503, "x"), errc::kUnavailable, "", 0 },
  { "rate limited", Response(429, ""), errc::kRateLimited, "", 0 },
  { "refused", Response(400, ""), errc::kRejected, "", 0 },
  { "not JSON", Response(200, "[{"), errc::kMalformed, "", 0 },
  { "not a list", Response(200, "{}"), errc::kMalformed, "", 0 },
  { "an empty list", Response(200, "[]"), errc::kMalformed, "", 0 },
  { "no version",
    Response(200, R"([{"Value":"YWJj"}])"),
    errc::kMalformed,
    "",
    0 },
  { "version zero would mean no key",
    Response(200, R"([{"Value":"YWJj","ModifyIndex":0}])"),
    errc::kMalformed,
    "",
    0 },
  { "a negative version",
    Response(200, R"([{"Value":"YWJj","ModifyIndex":-1}])"),
    errc::kMalformed,
    "",
    0 },
  { "not base64",
    Response(200, R"([{"Value":"*","ModifyIndex":7}])"),
    errc::kMalformed,
    "",
    0 },
};

struct swap_row
{
  const char* name;
  http_response given;
  swap_outcome expected;
};

const swap_row kSwapRows[] = {
  { "done", Response(200, "true"), swap_outcome::kApplied },
  { "applied, with a line end",
    Response(200, "true\n"),
    swap_outcome::kApplied },
  { "another version", Response(200, "false"), swap_outcome::kConflict },
  { "torn", Response(200, "tru"), swap_outcome::kUnknown },
  { "empty", Response(200, ""), swap_outcome::kUnknown },
  { "failing", Response(500, "false"), swap_outcome::kUnknown },
  { "rate limited", Response(429, ""), swap_outcome::kUnknown },
  { "late", Failure(errc::kTimeout), swap_outcome::kUnknown },
  { "down", Failure(errc::kUnreachable), swap_outcome::kUnknown },
};

constexpr char kVm[] =
  R"({"Node":"vm-1","Address":"127.0.0.1","ServicePort":27000,"ServiceMeta":)"
  R"({"failure_domain":"marka","peer_port":"27001","status_port":"27002"}})";
constexpr char kLeavingVm[] =
  R"({"Node":"vm-0","Address":"127.0.0.1","ServicePort":27010,"ServiceMeta":)"
  R"({"failure_domain":"marka","peer_port":"27011","status_port":"27012",)"
  R"("leaving":"true"}})";
constexpr char kServer[] =
  R"({"Node":"db-1","Address":"127.0.0.1","ServicePort":27100,"ServiceMeta":)"
  R"({"group":"claimsbook-1","failure_domain":"marka","slots":"2",)"
  R"("connections":"16"}})";

std::string
List(std::initializer_list<std::string> aItems)
{
  std::string list = "[";
  for (const auto& item : aItems) {
    list += (list.size() > 1 ? "," : "") + item;
  }
  return list + "]";
}

/// The item with one of its parts replaced.
std::string
Replace(std::string aItem, const std::string& aOld, const std::string& aNew)
{
  return aItem.replace(aItem.find(aOld), aOld.size(), aNew);
}

struct list_row
{
  const char* name;
  http_response given;
  std::error_code error;
  std::size_t count;
};

const list_row kVmRows[] = {
  { "none", Response(200, "[]"), {}, 0 },
  { "two", Response(200, List({ kVm, kLeavingVm })), {}, 2 },
  { "duplicate VM", Response(200, List({ kVm, kVm })), errc::kMalformed, 0 },
  { "no such service", Response(404, ""), errc::kRejected, 0 },
  { "down", Failure(errc::kUnreachable), errc::kUnreachable, 0 },
  { "port out of range",
    Response(200, List({ Replace(kVm, "27000", "65536") })),
    errc::kMalformed,
    0 },
  { "port zero",
    Response(200, List({ Replace(kVm, "\"27001\"", "\"0\"") })),
    errc::kMalformed,
    0 },
  { "no address",
    Response(200, List({ Replace(kVm, "127.0.0.1", "") })),
    errc::kMalformed,
    0 },
  { "one invalid entry rejects the list",
    Response(200, List({ kLeavingVm, Replace(kVm, "peer_port", "x") })),
    errc::kMalformed,
    0 },
};

const list_row kGroupRows[] = {
  { "none", Response(200, "[]"), {}, 0 },
  { "one group of two",
    Response(200, List({ kServer, Replace(kServer, "db-1", "db-0") })),
    {},
    1 },
  { "two groups",
    Response(200, List({ kServer, Replace(kServer, "book-1", "book-2") })),
    {},
    2 },
  { "a member twice",
    Response(200, List({ kServer, kServer })),
    errc::kMalformed,
    0 },
  { "no slots",
    Response(200, List({ Replace(kServer, "\"2\"", "\"0\"") })),
    errc::kMalformed,
    0 },
  { "one invalid entry rejects the list",
    Response(200, List({ kServer, Replace(kServer, "connections", "x") })),
    errc::kMalformed,
    0 },
};

struct target_row
{
  const char* key;
  const char* expected;
};

constexpr target_row kTargetRows[] = {
  { "currantshed/configuration", "/v1/kv/currantshed/configuration" },
  { "currantshed/groups/a b?/terms",
    "/v1/kv/currantshed/groups/a%20b%3F/terms" },
  { "50%/\xc3\xa4", "/v1/kv/50%25/%C3%A4" },
};

} // namespace

TEST_GROUP(consul_responses){};

TEST(consul_responses, entries)
{
  for (const auto& row : kEntryRows) {
    entry found{ "left over", 99 };
    CHECK_TEXT(ReadEntry(row.given, found) == row.error, row.name);
    STRCMP_EQUAL_TEXT(row.value, found.value.c_str(), row.name);
    CHECK_TEXT(found.version == row.version, row.name);
  }
}

TEST(consul_responses, swaps)
{
  for (const auto& row : kSwapRows) {
    CHECK_TEXT(ReadSwap(row.given) == row.expected, row.name);
  }
}

TEST(consul_responses, vm_lists)
{
  for (const auto& row : kVmRows) {
    std::vector<vm> vms(3);
    CHECK_TEXT(ReadVms(row.given, vms) == row.error, row.name);
    CHECK_TEXT(vms.size() == row.count, row.name);
  }
}

TEST(consul_responses, vm_fields_in_order_of_id)
{
  std::vector<vm> vms;
  CHECK_FALSE(ReadVms(Response(200, List({ kVm, kLeavingVm })), vms));
  CHECK(
    (vms[0] == vm{ "vm-0", "127.0.0.1", "marka", 27010, 27011, 27012, true }));
  CHECK(
    (vms[1] == vm{ "vm-1", "127.0.0.1", "marka", 27000, 27001, 27002, false }));
}

TEST(consul_responses, group_lists)
{
  for (const auto& row : kGroupRows) {
    std::vector<description> groups(3);
    CHECK_TEXT(ReadGroups(row.given, groups) == row.error, row.name);
    CHECK_TEXT(groups.size() == row.count, row.name);
  }
}

TEST(consul_responses, group_fields)
{
  std::vector<description> groups;
  CHECK_FALSE(ReadGroups(Response(200, List({ kServer })), groups));
  const description expected{
    "claimsbook-1", { { "db-1", "127.0.0.1", 27100, "marka", 2, 16, false } }
  };
  CHECK(groups.front() == expected);
}

TEST(consul_responses, targets)
{
  for (const auto& row : kTargetRows) {
    STRCMP_EQUAL(row.expected, KeyTarget(row.key).c_str());
  }
}

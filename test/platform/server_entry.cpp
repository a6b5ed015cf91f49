#include <string>
#include <system_error>

#include "currantshed/node/entry_error.hpp"
#include "platform/documents.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using node::entry_errc;

namespace {

constexpr const char* kEntry = R"({"service":"s","address":"10.1.0.9:8080",
"zone":"marka","version":"v1","slots":2,"state":"ready","warmup_left_ms":0,
"target_role":"primary","seq":4,"born":1795000000123})";

/// Replaces a part of a text.
std::string
Replace(std::string aText, const std::string& aOld, const std::string& aNew)
{
  const auto at = aText.find(aOld);
  return at == std::string::npos ? aText : aText.replace(at, aOld.size(), aNew);
}

struct bad_row
{
  const char* name;
  std::string old;
  std::string now;
  entry_errc why;
};

const bad_row kBadRows[] = {
  { "no service", "\"service\":\"s\",", "", entry_errc::kFieldMissing },
  { "a service that is a number", "\"s\"", "3", entry_errc::kFieldWrong },
  { "a service without a name", "\"s\"", "\"\"", entry_errc::kFieldWrong },
  { "a service with a blank", "\"s\"", "\"s t\"", entry_errc::kFieldWrong },
  { "a service with an end of line",
    "\"s\"",
    "\"s\\r\\nSTART t\"",
    entry_errc::kFieldWrong },
  { "no address",
    "\"address\":\"10.1.0.9:8080\",",
    "",
    entry_errc::kFieldMissing },
  { "no port", "10.1.0.9:8080", "10.1.0.9", entry_errc::kFieldWrong },
  { "a port out of range", ":8080", ":80801", entry_errc::kFieldWrong },
  { "a negative port", ":8080", ":-80", entry_errc::kFieldWrong },
  { "port zero", ":8080", ":0", entry_errc::kFieldWrong },
  { "a host name as address", "10.1.0.9", "host", entry_errc::kFieldWrong },
  { "an address out of range",
    "10.1.0.9",
    "10.1.0.900",
    entry_errc::kFieldWrong },
  { "no zone", "\"zone\":\"marka\",", "", entry_errc::kFieldMissing },
  { "a zone that is a list",
    "\"marka\"",
    "[\"marka\"]",
    entry_errc::kFieldWrong },
  { "no state", "\"state\":\"ready\",", "", entry_errc::kFieldMissing },
  { "an unknown state", "\"ready\"", "\"resting\"", entry_errc::kUnknownState },
  { "a capitalized state",
    "\"ready\"",
    "\"Draining\"",
    entry_errc::kUnknownState },
  { "a state that is null", "\"ready\"", "null", entry_errc::kFieldWrong },
  { "no version", "\"version\":\"v1\",", "", entry_errc::kFieldMissing },
  { "a version that is a number", "\"v1\"", "1", entry_errc::kFieldWrong },
  { "no slots", "\"slots\":2,", "", entry_errc::kFieldMissing },
  { "negative slots", "\"slots\":2", "\"slots\":-2", entry_errc::kFieldWrong },
  { "a fraction of a slot",
    "\"slots\":2",
    "\"slots\":2.5",
    entry_errc::kFieldWrong },
  { "slots out of range",
    "\"slots\":2",
    "\"slots\":99999999999999999999",
    entry_errc::kFieldWrong },
  { "a warm-up time that is a string",
    "\"warmup_left_ms\":0",
    "\"warmup_left_ms\":\"0\"",
    entry_errc::kFieldWrong },
  { "no sequence number", "\"seq\":4,", "", entry_errc::kFieldMissing },
  { "a start time that is a string",
    "1795000000123",
    "\"1795000000123\"",
    entry_errc::kFieldWrong },
  { "a start time with a fraction",
    "1795000000123",
    "1795000000123.5",
    entry_errc::kFieldWrong },
  { "a negative start time",
    "1795000000123",
    "-1795000000123",
    entry_errc::kFieldWrong },
  { "a start time out of range",
    "1795000000123",
    "18446744073709551615",
    entry_errc::kFieldWrong },
  { "torn", ",\"born\":1795000000123}", "", entry_errc::kUnreadable },
  { "two documents", "1795000000123}", "1}{}", entry_errc::kUnreadable },
  { "a list", "{\"service\"", "[{\"service\"", entry_errc::kUnreadable },
  { "bytes that are not UTF-8",
    "\"marka\"",
    "\"\xff\xfe\"",
    entry_errc::kUnreadable },
  { "deep nesting",
    "\"marka\"",
    std::string(500, '[') + std::string(500, ']'),
    entry_errc::kUnreadable },
  { "longer than the limit",
    "\"v1\"",
    '"' + std::string(65536, 'v') + '"',
    entry_errc::kTooLong },
};

struct key_row
{
  const char* name;
  std::string key;
};

const key_row kBadKeys[] = {
  { "no id", "servers/" },
  { "another prefix", "server/i-7f" },
  { "an id with a blank", "servers/i 7f" },
  { "an id with an end of line", "servers/i-7f\r\n" },
  { "an id that is not printable ASCII", "servers/\xff" },
};

struct good_row
{
  const char* name;
  std::string old;
  std::string now;
};

const good_row kGoodRows[] = {
  { "as written by servers", "", "" },
  { "an additional field", "\"seq\":4", "\"seq\":4,\"rack\":[1,{\"a\":2}]" },
  { "no start time", ",\"born\":1795000000123", "" },
  { "another role: the primary is determined by querying servers",
    "\"primary\"",
    "\"replica\"" },
  { "a duplicate field: the last one counts",
    "\"zone\":\"marka\"",
    "\"zone\":\"khalda\",\"zone\":\"marka\"" },
};

} // namespace

TEST_GROUP(server_entry){};

TEST(server_entry, of_a_server_is_read)
{
  const platform::json_documents documents;
  for (const auto& row : kGoodRows) {
    std::error_code reason;
    const auto text = Replace(kEntry, row.old, row.now);
    const auto read = documents.ReadServer("servers/i-7f", text, reason);
    CHECK_TEXT(read && !reason, row.name);
    CHECK_TEXT(read->id == "i-7f" && read->service == "s", row.name);
    CHECK_TEXT(read->address == "10.1.0.9" && read->port == 8080, row.name);
    CHECK_TEXT(read->failureDomain == "marka" && !read->draining, row.name);
    CHECK_EQUAL_TEXT(2U, read->slots, row.name);
  }
  std::error_code reason;
  const auto read = documents.ReadServer(
    "servers/i-7f", Replace(kEntry, "\"ready\"", "\"draining\""), reason);
  CHECK(read && read->draining);
  CHECK(read->startedAt.time_since_epoch().count() == 1795000000123);
}

TEST(server_entry, of_another_writer_names_no_server)
{
  const platform::json_documents documents;
  for (const auto& row : kBadRows) {
    std::error_code reason;
    const auto text = Replace(kEntry, row.old, row.now);
    CHECK_TEXT(text != kEntry, row.name);
    CHECK_TEXT(!documents.ReadServer("servers/i-7f", text, reason), row.name);
    CHECK_TEXT(reason == row.why, row.name);
  }
  for (const auto& row : kBadKeys) {
    std::error_code reason;
    CHECK_TEXT(!documents.ReadServer(row.key, kEntry, reason), row.name);
    CHECK_TEXT(reason == entry_errc::kNoId, row.name);
  }
}

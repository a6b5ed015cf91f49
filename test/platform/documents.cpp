#include "platform/documents.hpp"

#include <string>

#include "platform/settings_file.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

constexpr const char* kConfiguration = R"({"version":7,"routes":[
{"name":"r","host":"db1","prefix":"/","route_type":"read_your_writes",
"timeout_ms":800,"target_latency_ms":200,"priority":2,"service":"s","attempts":2,
"max_staleness_ms":2500},
{"name":"q","host":"db2","route_type":"primary","timeout_ms":500.5,
"target_latency_ms":100,"service":"s"}],
"services":[{"name":"s","max_conns":16,"sync_replicas":0}],
"limits":{"tx_idle_ms":3000}})";

constexpr const char* kSettings = R"({"node_name":"front-1","zone":"marka",
"ip":"10.1.0.8","internal_ports":[7440,7455],
"listen":{"front":"10.1.0.8:8784","ready":"10.1.0.8:8785"},
"limits":{"max_fds":4200},"bounds":{"grace_s":6,"drain_ms":9000,"config_apply_ms":3000},
"platform":{"address":"10.200.1.7:8783","ttl_min_ms":1000,"history_s":20},
"cloud_api":{"address":"10.200.0.160:8783"}})";

/// Replaces a part of a text.
std::string
Replace(std::string aText, const std::string& aOld, const std::string& aNew)
{
  const auto at = aText.find(aOld);
  return at == std::string::npos ? aText : aText.replace(at, aOld.size(), aNew);
}

struct broken_row
{
  const char* name;
  const char* old;
  const char* now;
};

constexpr broken_row kBrokenConfigurations[] = {
  { "torn", "\"limits\":{\"tx_idle_ms\":3000}}", "" },
  { "no version", "\"version\":7,", "" },
  { "a negative version", "\"version\":7", "\"version\":-7" },
  { "an unknown policy", "read_your_writes", "eventual" },
  { "a time that is a string", "\"timeout_ms\":800", "\"timeout_ms\":\"800\"" },
  { "a negative time", "\"timeout_ms\":800", "\"timeout_ms\":-1" },
  { "routes that are not an array", "\"routes\":[", "\"routes\":3,\"x\":[" },
  { "an array", "{\"version\":7", "[{\"version\":7" },
};

constexpr broken_row kBrokenSettings[] = {
  { "no name", "\"node_name\":\"front-1\",", "" },
  { "no ports", "[7440,7455]", "[]" },
  { "enforced revocation without a time limit",
    "\"bounds\":{",
    "\"bounds\":{\"enforce_revoke_all\":true," },
  { "ports in reverse order", "[7440,7455]", "[7455,7440]" },
  { "a port that is not a number", "10.1.0.8:8784", "10.1.0.8:x" },
  { "torn", "\"cloud_api\"", "\"cloud" },
};

} // namespace

TEST_GROUP(documents){};

TEST(documents, a_configuration)
{
  std::string reason;
  const auto read =
    platform::json_documents().ReadConfiguration(kConfiguration, reason);
  CHECK(read != nullptr);
  CHECK_EQUAL(7, static_cast<int>(read->version));
  CHECK_EQUAL(2, static_cast<int>(read->routes.size()));
  const auto& route = *read->routes.at("db1");
  CHECK(route.policy == proxy::read_policy::kReadYourWrites);
  CHECK(route.maxStaleness == std::chrono::milliseconds{ 2500 });
  CHECK(route.statementTimeout == std::chrono::milliseconds{ 800 });
  CHECK_EQUAL(16, static_cast<int>(read->services.at("s").maxConnections));
}

TEST(documents, broken_configurations)
{
  for (const auto& row : kBrokenConfigurations) {
    std::string reason;
    const auto text = Replace(kConfiguration, row.old, row.now);
    CHECK_TEXT(platform::json_documents().ReadConfiguration(text, reason) ==
                 nullptr,
               row.name);
    CHECK_TEXT(!reason.empty(), row.name);
  }
}

struct customers_row
{
  const char* name;
  const char* customers;
  const char* key;
  /// Null if the key belongs to no customer.
  const char* customer;
  double perSecond;
  double burst;
};

constexpr customers_row kCustomersRows[] = {
  { "a customer with a rate limit",
    R"([{"name":"a","api_keys":["k","l"],"priority":1,"rate_per_s":18.5,"burst":20}])",
    "l",
    "a",
    18.5,
    20 },
  { "the burst defaults to the rate",
    R"([{"name":"a","api_keys":["k"],"rate_per_s":18}])",
    "k",
    "a",
    18,
    18 },
  { "a customer without a rate limit",
    R"([{"name":"a","api_keys":["k"]}])",
    "k",
    "a",
    -1,
    0 },
  { "nobody", "[]", "k", nullptr, 0, 0 },
  { "a customer whose name has two words is skipped",
    R"([{"name":"a b","api_keys":["k"]}])",
    "k",
    nullptr,
    0,
    0 },
  { "a customer without a name is skipped, the others are not",
    R"([{"api_keys":["k"]},{"name":"b","api_keys":["l"]}])",
    "l",
    "b",
    -1,
    0 },
  { "a customer with a negative rate is skipped",
    R"([{"name":"a","api_keys":["k"],"rate_per_s":-1}])",
    "k",
    nullptr,
    0,
    0 },
  { "a key that is not a string",
    R"([{"name":"a","api_keys":[7]}])",
    "7",
    nullptr,
    0,
    0 },
};

TEST(documents, customers)
{
  std::string reason;
  const platform::json_documents documents;
  CHECK(documents.ReadConfiguration(kConfiguration, reason)->customers ==
        nullptr);
  for (const auto& row : kCustomersRows) {
    const auto text =
      Replace(kConfiguration,
              "\"services\"",
              std::string("\"tenants\":") + row.customers + ",\"services\"");
    const auto read = documents.ReadConfiguration(text, reason);
    CHECK_TEXT(read != nullptr && read->customers != nullptr, row.name);
    const auto found = read->customers->FindByKey(row.key);
    CHECK_TEXT((found == nullptr) == (row.customer == nullptr), row.name);
    if (found == nullptr) {
      continue;
    }
    STRCMP_EQUAL_TEXT(row.customer, found->name.c_str(), row.name);
    CHECK_TEXT(found->limit.has_value() == (row.perSecond >= 0), row.name);
    if (found->limit) {
      DOUBLES_EQUAL_TEXT(
        row.perSecond, found->limit->perSecond, 1e-9, row.name);
      DOUBLES_EQUAL_TEXT(row.burst, found->limit->burst, 1e-9, row.name);
    }
  }
}

TEST(documents, routes_for_anyone)
{
  std::string reason;
  const auto read = platform::json_documents().ReadConfiguration(
    Replace(kConfiguration, "\"prefix\":\"/\"", "\"public\":true"), reason);
  CHECK(read->routes.at("db1")->isPublic);
  CHECK(!read->routes.at("db2")->isPublic);
}

struct bound_row
{
  const char* name;
  const char* bounds;
  std::chrono::milliseconds expect;
};

constexpr bound_row kBoundRows[] = {
  { "none", "", std::chrono::milliseconds{ 0 } },
  { "not enforced",
    "\"enforce_revoke_all\":false,\"revoke_ms\":5000,",
    std::chrono::milliseconds{ 0 } },
  { "enforced",
    "\"enforce_revoke_all\":true,\"revoke_ms\":5000,",
    std::chrono::milliseconds{ 5000 } },
};

TEST(documents, how_long_keys_may_be_trusted)
{
  for (const auto& row : kBoundRows) {
    std::string reason;
    const auto read = platform::ReadSettings(
      Replace(
        kSettings, "\"grace_s\"", std::string(row.bounds) + "\"grace_s\""),
      reason);
    CHECK_TEXT(read && read->keyBound == row.expect, row.name);
  }
}

TEST(documents, how_soon_a_configuration_must_be_in_force)
{
  std::string reason;
  const auto usual = platform::ReadSettings(kSettings, reason);
  CHECK(usual && usual->configurationBound == std::chrono::seconds{ 3 });
  const auto configured = platform::ReadSettings(
    Replace(kSettings, "\"config_apply_ms\":3000", "\"config_apply_ms\":8000"),
    reason);
  CHECK(configured &&
        configured->configurationBound == std::chrono::seconds{ 8 });
}

TEST(documents, settings)
{
  std::string reason;
  const auto read = platform::ReadSettings(kSettings, reason);
  CHECK(read && read->vm == "front-1" && read->callers.port == 8784);
  CHECK_EQUAL(7440, read->peers.port);
  CHECK_EQUAL(7441, read->relays.port);
  CHECK_EQUAL(7455, read->metrics.port);
  CHECK(read->stopTime == std::chrono::seconds{ 6 });
  CHECK(read->leavingTime == std::chrono::seconds{ 9 });
  CHECK(read->storeHistory == std::chrono::seconds{ 20 });
  for (const auto& row : kBrokenSettings) {
    reason.clear();
    CHECK_TEXT(
      !platform::ReadSettings(Replace(kSettings, row.old, row.now), reason),
      row.name);
    CHECK_TEXT(!reason.empty(), row.name);
  }
  CHECK(!platform::ReadSettingsFile("/nonexistent/file", reason));
}

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "test/currantshed/proxy/customers_configuration.hpp"
#include "test/currantshed/proxy/one_vm.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using proxy::failure_code;
using proxy::session_admission;
using proxy::statement_kind;
using test::declared;
using test::kStart;
using test::recording_caller;

namespace {

const std::vector<declared> kTwo{ { "baker", { "key-b", "key-b2" } },
                                  { "smith", { "key-s" } } };

customer::freshness
FreshAt(clock::time_point aAt)
{
  customer::freshness made(5000ms);
  made.MarkVerified(aAt);
  return made;
}

/// A VM that tells two customers apart.
class customers_vm : public test::one_vm
{
public:
  customers_vm()
  {
    engine.SetConfiguration(test::CustomersConfiguration(2, kTwo), now);
    engine.SetFreshness(FreshAt(now));
  }

  proxy::engine::session_id Open(recording_caller& aCaller,
                                 const std::string& aKey)
  {
    return *engine.Open("claims", aCaller, aKey);
  }

  /// Answers what the server was sent last.
  void Answer(const std::string& aServer)
  {
    proxy::answer made;
    made.signature = "signed";
    made.position = position::log_position{ 1, 6 };
    servers.listeners[aServer]->Answered(made, now);
  }
};

struct admission_row
{
  const char* name;
  std::vector<declared> customers;
  const char* database;
  const char* key;
  /// When the store was last known to have nothing newer; the session was asked
  /// for at the start.
  std::chrono::milliseconds provedAfter;
  std::chrono::milliseconds sinceStart;
  session_admission expect;
};

const admission_row kAdmissionRows[] = {
  { "a key in force",
    kTwo,
    "claims",
    "key-s",
    -1000ms,
    0ms,
    session_admission::kGranted },
  { "another key of the same customer",
    kTwo,
    "claims",
    "key-b2",
    -1000ms,
    0ms,
    session_admission::kGranted },
  { "an unknown key, a proof from before",
    kTwo,
    "claims",
    "key-x",
    -1ms,
    0ms,
    session_admission::kKeyNotYetKnown },
  { "an unknown key, a proof from after",
    kTwo,
    "claims",
    "key-x",
    1ms,
    2ms,
    session_admission::kUnknownKey },
  { "no key", kTwo, "claims", "", 1ms, 2ms, session_admission::kUnknownKey },
  { "no key for what is public",
    kTwo,
    "open",
    "",
    -9000ms,
    0ms,
    session_admission::kGranted },
  { "keys that may be old",
    kTwo,
    "claims",
    "key-s",
    -5000ms,
    0ms,
    session_admission::kKeysStale },
  { "keys that get old",
    kTwo,
    "claims",
    "key-s",
    0ms,
    4900ms,
    session_admission::kKeysStale },
  { "a key of two customers",
    { { "baker", { "key" } }, { "smith", { "key" } } },
    "claims",
    "key",
    1ms,
    2ms,
    session_admission::kUnknownKey },
  { "a customer without keys",
    { { "baker", {} } },
    "claims",
    "key-b",
    1ms,
    2ms,
    session_admission::kUnknownKey },
  { "nobody there",
    {},
    "claims",
    "key-b",
    1ms,
    2ms,
    session_admission::kUnknownKey },
  { "no such database",
    kTwo,
    "bills",
    "key-b",
    1ms,
    2ms,
    session_admission::kNoDatabase },
};

struct change_row
{
  const char* name;
  /// What is in force after the session has begun.
  std::vector<declared> customers;
  std::chrono::milliseconds later;
  bool inTransaction;
  std::optional<failure_code> expect;
};

const change_row kChangeRows[] = {
  { "nothing changes", kTwo, 0ms, false, std::nullopt },
  { "the key goes",
    { { "baker", { "key-b2" } } },
    0ms,
    false,
    failure_code::kNotAuthorized },
  { "the customer's last key goes",
    { { "baker", {} } },
    0ms,
    false,
    failure_code::kNotAuthorized },
  { "the customer goes in a transaction",
    {},
    0ms,
    true,
    failure_code::kNotAuthorized },
  { "the key passes to another customer",
    { { "smith", { "key-b" } } },
    0ms,
    false,
    std::nullopt },
  { "the key passes on in a transaction",
    { { "smith", { "key-b" } } },
    0ms,
    true,
    failure_code::kAborted },
  { "keys may be old", kTwo, 5000ms, false, failure_code::kBusy },
  { "keys may be old in a transaction",
    kTwo,
    5000ms,
    true,
    failure_code::kBusy },
};

} // namespace

TEST_GROUP(customers){};

TEST(customers, A_session_begins_with_a_key_in_force)
{
  for (const auto& row : kAdmissionRows) {
    test::one_vm vm;
    vm.engine.SetConfiguration(test::CustomersConfiguration(2, row.customers),
                               vm.now);
    vm.engine.SetFreshness(FreshAt(vm.now + row.provedAfter));
    const auto got =
      vm.engine.Admits(row.database, row.key, vm.now, vm.now + row.sinceStart);
    CHECK_TEXT(got == row.expect, row.name);
  }
}

TEST(customers, Each_statement_needs_the_key_to_be_in_force)
{
  for (const auto& row : kChangeRows) {
    customers_vm vm;
    recording_caller caller;
    const auto session = vm.Open(caller, "key-b");
    if (row.inTransaction) {
      vm.Ask(session, statement_kind::kBegin, "BEGIN");
      CHECK_TEXT(!caller.lastAnswer->failed, row.name);
    }
    vm.now += row.later;
    vm.engine.Confirm("claims", { 1, "a", vm.now }, vm.now);
    vm.engine.SetConfiguration(test::CustomersConfiguration(3, row.customers),
                               vm.now);
    caller.lastAnswer.reset();
    vm.Ask(session, statement_kind::kRead, "READ x");
    if (!row.expect) {
      CHECK_TEXT(!caller.lastAnswer, row.name);
      continue;
    }
    CHECK_TEXT(caller.lastAnswer && caller.lastAnswer->failed, row.name);
    CHECK_TEXT(caller.lastAnswer->failed->code == *row.expect, row.name);
    CHECK_TEXT(!vm.HasWork("a"), row.name);
  }
}

// What has waited for a connection, or stood still, is looked at again before
// it is sent.
TEST(customers, A_request_is_looked_at_again_when_it_is_sent)
{
  customers_vm vm;
  recording_caller first;
  recording_caller second;
  vm.Ask(vm.Open(first, "key-b"), statement_kind::kRead, "READ x");
  vm.Ask(vm.Open(second, "key-s"), statement_kind::kRead, "READ y");
  vm.now += 5000ms;
  vm.engine.Confirm("claims", { 1, "a", vm.now }, vm.now);
  for (auto* one : std::exchange(vm.servers.opening, {})) {
    one->Opened(vm.opensAt, vm.now);
  }
  CHECK(!vm.HasWork("a"));
  for (const auto* one : { &first, &second }) {
    CHECK(one->lastAnswer && one->lastAnswer->failed);
    STRCMP_CONTAINS("keys", one->lastAnswer->failed->text.c_str());
    CHECK(one->lastAnswer->failed->code == failure_code::kBusy);
  }
}

// The server takes the first customer's statements on the first connection, so
// the second customer needs one of its own.
TEST(customers, Customers_have_connections_of_their_own)
{
  customers_vm vm;
  recording_caller first;
  const auto session = vm.Open(first, "key-b");
  vm.Ask(session, statement_kind::kRead, "READ x");
  vm.Pass(100ms);
  const auto own = vm.servers.lastUsed;
  vm.Answer("a");
  CHECK(first.lastAnswer && !first.lastAnswer->failed);

  recording_caller second;
  vm.Ask(vm.Open(second, "key-s"), statement_kind::kRead, "READ y");
  CHECK_EQUAL(own, vm.servers.lastUsed);
  vm.Pass(100ms);
  CHECK(vm.servers.lastUsed > own);

  vm.Ask(session, statement_kind::kRead, "READ z");
  CHECK_EQUAL(own, vm.servers.lastUsed);
}

// Nine connections, of which this VM uses six: the seventh customer's takes the
// place of the one that has rested for longest.
TEST(customers, The_least_recently_used_connection_is_closed)
{
  std::vector<declared> many;
  for (const char* name : { "c0", "c1", "c2", "c3", "c4", "c5", "c6" }) {
    many.push_back({ name, { name } });
  }
  customers_vm vm;
  vm.engine.SetConfiguration(test::CustomersConfiguration(3, many), vm.now);
  for (const auto& one : many) {
    recording_caller caller;
    const auto session = vm.Open(caller, one.customer);
    vm.Ask(session, statement_kind::kRead, "READ x");
    vm.Pass(100ms);
    vm.Answer("a");
    CHECK_TEXT(caller.lastAnswer && !caller.lastAnswer->failed, one.customer);
    vm.engine.Close(session, vm.now);
  }
  const auto opened = vm.servers.opened;
  recording_caller last;
  vm.Ask(vm.Open(last, "c6"), statement_kind::kRead, "READ x");
  vm.Pass(100ms);
  CHECK_EQUAL(opened, vm.servers.opened);
  recording_caller gone;
  vm.Ask(vm.Open(gone, "c0"), statement_kind::kRead, "READ x");
  vm.Pass(100ms);
  CHECK_EQUAL(opened + 1, vm.servers.opened);
}

#include <chrono>
#include <deque>
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

/// A VM with two customers.
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

  /// Answers the last command that the server received.
  void AnswerLast(const std::string& aServer)
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
  /// When the store was last known to have no newer keys; the session is
  /// requested at the start.
  std::chrono::milliseconds provedAfter;
  std::chrono::milliseconds sinceStart;
  session_admission expect;
};

const admission_row kAdmissionRows[] = {
  { "a valid key",
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
  { "an unknown key, verified before the request",
    kTwo,
    "claims",
    "key-x",
    -1ms,
    0ms,
    session_admission::kKeyNotYetKnown },
  { "an unknown key, verified after the request",
    kTwo,
    "claims",
    "key-x",
    1ms,
    2ms,
    session_admission::kUnknownKey },
  { "no key", kTwo, "claims", "", 1ms, 2ms, session_admission::kUnknownKey },
  { "no key for a public database",
    kTwo,
    "open",
    "",
    -9000ms,
    0ms,
    session_admission::kGranted },
  { "stale keys",
    kTwo,
    "claims",
    "key-s",
    -5000ms,
    0ms,
    session_admission::kKeysStale },
  { "keys that become stale",
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
  { "no customers",
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

struct revocation_row
{
  const char* name;
  /// The configuration in force after the session has begun.
  std::vector<declared> customers;
  std::chrono::milliseconds later;
  bool inTransaction;
  std::optional<failure_code> expect;
};

const revocation_row kRevocationRows[] = {
  { "nothing changes", kTwo, 0ms, false, std::nullopt },
  { "the key is revoked",
    { { "baker", { "key-b2" } } },
    0ms,
    false,
    failure_code::kNotAuthorized },
  { "the customer's last key is revoked",
    { { "baker", {} } },
    0ms,
    false,
    failure_code::kNotAuthorized },
  { "the customer is removed during a transaction",
    {},
    0ms,
    true,
    failure_code::kNotAuthorized },
  { "the key passes to another customer",
    { { "smith", { "key-b" } } },
    0ms,
    false,
    std::nullopt },
  { "the key passes to another customer during a transaction",
    { { "smith", { "key-b" } } },
    0ms,
    true,
    failure_code::kAborted },
  { "the keys are stale", kTwo, 5000ms, false, failure_code::kBusy },
  { "the keys become stale during a transaction",
    kTwo,
    5000ms,
    true,
    failure_code::kBusy },
};

} // namespace

TEST_GROUP(customers){};

TEST(customers, A_session_needs_a_valid_key)
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

TEST(customers, Each_statement_needs_a_valid_key)
{
  for (const auto& row : kRevocationRows) {
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
    CHECK_TEXT(!vm.WasSentWork("a"), row.name);
  }
}

// A request is authorized again when it is sent, since it may have been queued
// or the process suspended meanwhile.
TEST(customers, A_request_is_authorized_again_when_it_is_sent)
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
  CHECK(!vm.WasSentWork("a"));
  for (const auto* one : { &first, &second }) {
    CHECK(one->lastAnswer && one->lastAnswer->failed);
    STRCMP_CONTAINS("keys", one->lastAnswer->failed->text.c_str());
    CHECK(one->lastAnswer->failed->code == failure_code::kBusy);
  }
}

// The server accepts the first customer's statements on the first connection,
// so the second customer needs its own.
TEST(customers, Customers_have_connections_of_their_own)
{
  customers_vm vm;
  recording_caller first;
  const auto session = vm.Open(first, "key-b");
  vm.Ask(session, statement_kind::kRead, "READ x");
  vm.AdvanceTime(100ms);
  const auto own = vm.servers.lastUsed;
  vm.AnswerLast("a");
  CHECK(first.lastAnswer && !first.lastAnswer->failed);

  recording_caller second;
  vm.Ask(vm.Open(second, "key-s"), statement_kind::kRead, "READ y");
  CHECK_EQUAL(own, vm.servers.lastUsed);
  vm.AdvanceTime(100ms);
  CHECK(vm.servers.lastUsed > own);

  vm.Ask(session, statement_kind::kRead, "READ z");
  CHECK_EQUAL(own, vm.servers.lastUsed);
}

// Of nine connections this VM uses six: the seventh customer's connection
// replaces the one that has been idle for longest.
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
    vm.AdvanceTime(100ms);
    vm.AnswerLast("a");
    CHECK_TEXT(caller.lastAnswer && !caller.lastAnswer->failed, one.customer);
    vm.engine.Close(session, vm.now);
  }
  const auto opened = vm.servers.opened;
  recording_caller last;
  vm.Ask(vm.Open(last, "c6"), statement_kind::kRead, "READ x");
  vm.AdvanceTime(100ms);
  CHECK_EQUAL(opened, vm.servers.opened);
  recording_caller gone;
  vm.Ask(vm.Open(gone, "c0"), statement_kind::kRead, "READ x");
  vm.AdvanceTime(100ms);
  CHECK_EQUAL(opened + 1, vm.servers.opened);
}

// Of nine connections this VM uses six. A customer with two does not cost the
// others theirs, although its own were used last: each request of the others
// would need an opening.
TEST(customers, A_connection_above_its_customers_share_is_closed_first)
{
  std::vector<declared> many{ { "big", { "big" } } };
  for (const char* name : { "c0", "c1", "c2", "c3", "c4", "c5" }) {
    many.push_back({ name, { name } });
  }
  std::deque<recording_caller> callers;
  customers_vm vm;
  vm.engine.SetConfiguration(test::CustomersConfiguration(3, many), vm.now);
  std::vector<proxy::link_listener*> ofBig;
  for (int i = 0; i < 2; ++i) {
    vm.Ask(
      vm.Open(callers.emplace_back(), "big"), statement_kind::kRead, "READ x");
    vm.AdvanceTime(100ms);
    ofBig.push_back(vm.servers.listeners["a"]);
  }
  CHECK(ofBig[0] != ofBig[1]);
  for (const char* name : { "c0", "c1", "c2", "c3" }) {
    auto& caller = callers.emplace_back();
    const auto session = vm.Open(caller, name);
    vm.Ask(session, statement_kind::kRead, "READ x");
    vm.AdvanceTime(100ms);
    vm.AnswerLast("a");
    CHECK_TEXT(caller.lastAnswer && !caller.lastAnswer->failed, name);
    vm.engine.Close(session, vm.now);
  }
  for (auto* one : ofBig) {
    proxy::answer made;
    made.signature = "signed";
    made.position = position::log_position{ 1, 6 };
    one->Answered(made, vm.now);
  }
  const auto opened = vm.servers.opened;
  for (const char* name : { "c4", "c5" }) {
    vm.Ask(
      vm.Open(callers.emplace_back(), name), statement_kind::kRead, "READ x");
    vm.AdvanceTime(100ms);
  }
  CHECK_EQUAL(opened + 2, vm.servers.opened);
  for (const char* name : { "c0", "c1", "c2", "c3" }) {
    vm.Ask(
      vm.Open(callers.emplace_back(), name), statement_kind::kRead, "READ x");
    vm.AdvanceTime(100ms);
  }
  CHECK_EQUAL(opened + 2, vm.servers.opened);
}

struct lost_row
{
  const char* name;
  /// Whether the connection is open when it is lost.
  bool isOpen;
  proxy::link_close_reason why;
};

constexpr lost_row kLostRows[] = {
  { "an opening fails", false, proxy::link_close_reason::kUnreachable },
  { "the server is full", false, proxy::link_close_reason::kServerFull },
  { "the link breaks under a statement",
    true,
    proxy::link_close_reason::kBroken },
};

// What a lost connection was counted as must not keep its customer from the
// next one, nor take a place from the others.
TEST(customers, A_lost_connection_is_replaced)
{
  for (const auto& row : kLostRows) {
    std::deque<recording_caller> callers;
    customers_vm vm;
    vm.Ask(
      vm.Open(callers.emplace_back(), "key-b"), statement_kind::kRead, "READ");
    if (row.isOpen) {
      vm.AdvanceTime(50ms);
    }
    auto* lost = vm.servers.listeners["a"];
    vm.servers.opening.clear();
    lost->Ended(row.why, vm.now);
    vm.now += 500ms;
    vm.engine.Tick(vm.now);
    vm.engine.Confirm("claims", { 1, "a", vm.now }, vm.now);
    const auto opened = vm.servers.opened;
    for (const char* key : { "key-b", "key-s" }) {
      auto& caller = callers.emplace_back();
      vm.Ask(vm.Open(caller, key), statement_kind::kRead, "READ x");
      vm.AdvanceTime(100ms);
      vm.AnswerLast("a");
      CHECK_TEXT(caller.lastAnswer && !caller.lastAnswer->failed, row.name);
    }
    CHECK_EQUAL_TEXT(opened + 2, vm.servers.opened, row.name);
  }
}

#include <chrono>
#include <string>

#include "currantshed/store/prefix_view.hpp"
#include "test/currantshed/store/fake_key_value.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

/// A view of one key after its first read, with the results of its callbacks.
struct verified_fixture
{
  verified_fixture()
    : view(store,
           "a/",
           {},
           { [this](clock::time_point) { ++changes; },
             [](bool, std::error_code) {} })
  {
    store.Put("a/1", "x");
    view.Tick(store.now, 0);
    sentAt = store.now;
    store.now += 100ms;
    store.Answer();
  }

  void Check()
  {
    sentAt = store.now;
    view.Check(store.now, [this](bool aIsAnswered, clock::time_point) {
      isAnswered = aIsAnswered;
    });
    store.now += 300ms;
    store.Answer();
  }

  test::fake_key_value store;
  int changes = 0;
  bool isAnswered = false;
  clock::time_point sentAt;
  store::prefix_view view;
};

} // namespace

TEST_GROUP(verified_view){};

TEST(verified_view, A_read_verifies_as_of_its_start)
{
  verified_fixture one;
  CHECK(one.view.VerifiedAt() == one.sentAt);
}

TEST(verified_view, A_pending_watch_verifies_nothing)
{
  verified_fixture one;
  const auto before = one.view.VerifiedAt();
  one.view.Tick(one.store.now, 0);
  one.store.now += 20s;
  one.store.Answer();
  CHECK(one.view.VerifiedAt() == before);
}

TEST(verified_view, A_check_verifies_as_of_its_start_and_applies_changes)
{
  verified_fixture one;
  one.Check();
  CHECK(one.isAnswered);
  CHECK(one.view.VerifiedAt() == one.sentAt);
  const auto before = one.changes;
  one.store.Put("a/1", "y");
  one.Check();
  LONGS_EQUAL(before + 1, one.changes);
  STRCMP_EQUAL("y", one.view.Items().at("a/1").value.c_str());
}

TEST(verified_view, A_failed_check_verifies_nothing)
{
  verified_fixture one;
  const auto before = one.view.VerifiedAt();
  one.store.failing = store::make_error_code(store::errc::kTimeout);
  one.Check();
  CHECK(!one.isAnswered);
  CHECK(one.view.VerifiedAt() == before);
}

// The watch in progress delivers the same change a second time.
TEST(verified_view, A_change_counts_once_beside_a_watch)
{
  verified_fixture one;
  one.view.Tick(one.store.now, 0);
  one.store.Put("a/1", "y");
  const auto before = one.changes;
  one.Check();
  LONGS_EQUAL(before + 1, one.changes);
}

TEST(verified_view, An_older_verification_by_another_VM_is_ignored)
{
  verified_fixture one;
  const auto before = one.view.VerifiedAt();
  one.view.MarkVerified(before - 1s);
  CHECK(one.view.VerifiedAt() == before);
  one.view.MarkVerified(before + 1s);
  CHECK(one.view.VerifiedAt() == before + 1s);
}

// A store restored from an older snapshot may have lost an acknowledged
// configuration, and with it the revocation of an API key; operators write it
// again within 2 s.
TEST(verified_view, A_store_restored_a_moment_ago_verifies_nothing)
{
  verified_fixture one;
  one.store.SetEra(1);
  one.Check();
  one.store.TakeSnapshot();
  one.store.Put("a/1", "y");
  one.Check();
  const auto before = one.view.VerifiedAt();
  one.store.RestoreSnapshot();
  one.view.OnEraChanged(one.store.now);
  one.view.Tick(one.store.now, 0);
  one.store.Answer();
  STRCMP_EQUAL("x", one.view.Items().at("a/1").value.c_str());
  one.store.now += 1s;
  one.Check();
  CHECK(one.view.VerifiedAt() == before);
  one.store.now += 1s;
  one.store.Put("a/1", "y");
  one.store.now += 1s;
  one.Check();
  CHECK(one.view.VerifiedAt() == one.sentAt);
  STRCMP_EQUAL("y", one.view.Items().at("a/1").value.c_str());
}

// The store is restored while a VM that has just started waits for its first
// read. The VM learns of the restore from its lease. The read lacks a
// configuration acknowledged 2 s before, so it must not count as verification.
TEST(verified_view, A_first_read_during_a_restore_verifies_nothing)
{
  test::fake_key_value store;
  store.SetEra(1);
  store.Put("a/1", "x");
  store.TakeSnapshot();
  store.Put("a/1", "y");
  store::prefix_view view(
    store,
    "a/",
    {},
    { [](clock::time_point) {}, [](bool, std::error_code) {} });
  view.Tick(store.now, 0);
  store.RestoreSnapshot();
  store.now += 100ms;
  view.OnEraChanged(store.now);
  store.Answer();
  CHECK(view.IsKnown());
  CHECK(view.VerifiedAt() == clock::time_point{});
  store.now += 3s;
  const auto sentAt = store.now;
  view.Check(store.now, [](bool, clock::time_point) {});
  store.Answer();
  CHECK(view.VerifiedAt() == sentAt);
}

namespace {

struct unanswerable_check_row
{
  const char* name;
  bool isForwarded;
  int reads;
};

constexpr unanswerable_check_row kUnanswerableChecks[] = {
  { "a view that follows the store", false, 1 },
  { "a view with a forwarder", true, 0 },
};

} // namespace

// A check whose answer was too large was repeated for good; a read by each VM
// that checks would put the load of all on the store.
TEST(verified_view, A_check_that_is_too_large_is_replaced_by_a_read)
{
  for (const auto& row : kUnanswerableChecks) {
    verified_fixture one;
    if (row.isForwarded) {
      one.view.ForwardedUntil(one.store.now + 1h);
    }
    const auto before = one.store.ranges;
    one.store.failing = store::make_error_code(store::errc::kTooLarge);
    one.Check();
    one.store.failing = {};
    one.view.Tick(one.store.now, 0);
    LONGS_EQUAL_TEXT(before + row.reads, one.store.ranges, row.name);
  }
}

#include <chrono>
#include <string>

#include "currantshed/store/prefix_view.hpp"
#include "test/currantshed/store/fake_key_value.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

/// A view of one key after its first read, with the results of its callbacks.
struct proved
{
  proved()
    : view(store,
           "a/",
           {},
           { [this](clock::time_point) { ++changes; },
             [](bool, std::error_code) {} })
  {
    store.Put("a/1", "x");
    view.Tick(store.now, 0);
    asked = store.now;
    store.now += 100ms;
    store.Answer();
  }

  void Check()
  {
    asked = store.now;
    view.Check(store.now, [this](bool aIsProof, clock::time_point) {
      isProof = aIsProof;
    });
    store.now += 300ms;
    store.Answer();
  }

  test::fake_key_value store;
  int changes = 0;
  bool isProof = false;
  clock::time_point asked;
  store::prefix_view view;
};

} // namespace

TEST_GROUP(proved_view){};

TEST(proved_view, A_reading_proves_as_of_its_asking)
{
  proved one;
  CHECK(one.view.ProvedAt() == one.asked);
}

TEST(proved_view, A_watch_that_waits_proves_nothing)
{
  proved one;
  const auto before = one.view.ProvedAt();
  one.view.Tick(one.store.now, 0);
  one.store.now += 20s;
  one.store.Answer();
  CHECK(one.view.ProvedAt() == before);
}

TEST(proved_view, A_check_proves_as_of_its_asking_and_brings_changes)
{
  proved one;
  one.Check();
  CHECK(one.isProof);
  CHECK(one.view.ProvedAt() == one.asked);
  const auto before = one.changes;
  one.store.Put("a/1", "y");
  one.Check();
  LONGS_EQUAL(before + 1, one.changes);
  STRCMP_EQUAL("y", one.view.Items().at("a/1").value.c_str());
}

TEST(proved_view, A_check_that_fails_proves_nothing)
{
  proved one;
  const auto before = one.view.ProvedAt();
  one.store.failing = store::make_error_code(store::errc::kTimeout);
  one.Check();
  CHECK(!one.isProof);
  CHECK(one.view.ProvedAt() == before);
}

// The watch in progress delivers the same change a second time.
TEST(proved_view, A_change_counts_once_beside_a_watch)
{
  proved one;
  one.view.Tick(one.store.now, 0);
  one.store.Put("a/1", "y");
  const auto before = one.changes;
  one.Check();
  LONGS_EQUAL(before + 1, one.changes);
}

TEST(proved_view, Another_VMs_proof_takes_nothing_back)
{
  proved one;
  const auto before = one.view.ProvedAt();
  one.view.Prove(before - 1s);
  CHECK(one.view.ProvedAt() == before);
  one.view.Prove(before + 1s);
  CHECK(one.view.ProvedAt() == before + 1s);
}

// A store restored from an older snapshot may have lost an acknowledged
// configuration, and with it the revocation of an API key; operators write it
// again within 2 s.
TEST(proved_view, A_store_that_has_just_lost_changes_proves_nothing)
{
  proved one;
  one.store.SetEra(1);
  one.Check();
  one.store.Copy();
  one.store.Put("a/1", "y");
  one.Check();
  const auto before = one.view.ProvedAt();
  one.store.Return();
  one.view.EraEnded(one.store.now);
  one.view.Tick(one.store.now, 0);
  one.store.Answer();
  STRCMP_EQUAL("x", one.view.Items().at("a/1").value.c_str());
  one.store.now += 1s;
  one.Check();
  CHECK(one.view.ProvedAt() == before);
  one.store.now += 1s;
  one.store.Put("a/1", "y");
  one.store.now += 1s;
  one.Check();
  CHECK(one.view.ProvedAt() == one.asked);
  STRCMP_EQUAL("y", one.view.Items().at("a/1").value.c_str());
}

// The store is restored while a VM that has just started waits for its first
// read. The VM learns of the restore from its lease. The read lacks a
// configuration acknowledged 2 s before, so it must not count as verification.
TEST(proved_view, A_first_reading_beside_a_return_proves_nothing)
{
  test::fake_key_value store;
  store.SetEra(1);
  store.Put("a/1", "x");
  store.Copy();
  store.Put("a/1", "y");
  store::prefix_view view(
    store,
    "a/",
    {},
    { [](clock::time_point) {}, [](bool, std::error_code) {} });
  view.Tick(store.now, 0);
  store.Return();
  store.now += 100ms;
  view.EraEnded(store.now);
  store.Answer();
  CHECK(view.IsKnown());
  CHECK(view.ProvedAt() == clock::time_point{});
  store.now += 3s;
  const auto asked = store.now;
  view.Check(store.now, [](bool, clock::time_point) {});
  store.Answer();
  CHECK(view.ProvedAt() == asked);
}

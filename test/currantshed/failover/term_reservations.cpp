#include "currantshed/failover/term_reservations.hpp"

#include <map>
#include <random>
#include <string>

#include <absl/strings/str_cat.h>

#include "currantshed/failover/fake_store.hpp"

#include <CppUTest/TestHarness.h>

namespace {

namespace position = currantshed::position;

using namespace currantshed::failover;
using currantshed::clock::time_point;
using currantshed::failover::test::fake_store;
using currantshed::store::swap_outcome;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

coordinator_settings
SettingsOf(const std::string& aVm)
{
  coordinator_settings settings;
  settings.vm = aVm;
  settings.incarnation = aVm + "-1";
  return settings;
}

// Behaviour of the store for one call.
enum class call
{
  kGood,
  kDown,
  // Applied, but the response is lost.
  kAnswerLost,
  // Not applied, and without a response.
  kRequestLost,
  // Another client writes before the swap.
  kRaced,
};

// The reservations of one pooler and their store, driven call by call.
class store_driver
{
public:
  explicit store_driver(const std::string& aVm)
    : reservations(SettingsOf(aVm))
  {
  }

  // Advances the time until a store call is due, by at most a minute.
  void Step(fake_store& aStore, call aCall)
  {
    std::vector<action> actions;
    const auto end = now + milliseconds{ 60000 };
    while (actions.empty() && now < end) {
      reservations.Tick(now, actions);
      now += milliseconds{ 10 };
    }
    for (const auto& wanted : actions) {
      if (const auto* swap = std::get_if<swap_record>(&wanted)) {
        Swap(aStore, *swap, aCall);
      } else {
        reservations.RecordRead(aCall != call::kDown, aStore.content, now);
      }
    }
  }

  void Swap(fake_store& aStore, const swap_record& aSwap, call aCall)
  {
    ++swaps;
    if (aCall == call::kRaced) {
      aStore.content.version += 1;
    }
    const bool reached = aCall != call::kDown && aCall != call::kRequestLost;
    const bool applied = reached && aStore.Swap(aSwap.value, aSwap.expected);
    auto outcome = applied ? swap_outcome::kApplied : swap_outcome::kConflict;
    if (!reached || aCall == call::kAnswerLost) {
      outcome = swap_outcome::kUnknown;
    }
    reservations.RecordSwapped(outcome, now);
  }

  term_reservations reservations;
  time_point now;
  unsigned swaps = 0;
};

struct store_row
{
  const char* name;
  std::vector<call> calls;
  position::term_id expectLowest;
  unsigned expectSwaps;
};

const store_row kStoreRows[] = {
  { "good", { call::kGood, call::kGood }, 1, 1 },
  { "store down at first",
    { call::kDown, call::kDown, call::kGood, call::kGood },
    1,
    1 },
  { "response lost: the same terms are found",
    { call::kGood, call::kAnswerLost, call::kGood },
    1,
    1 },
  { "request lost: the same change is sent again",
    { call::kGood, call::kRequestLost, call::kGood, call::kGood },
    1,
    2 },
  { "race lost: read and written again",
    { call::kGood, call::kRaced, call::kGood, call::kGood },
    1,
    2 },
  { "response lost, then the store is down",
    { call::kGood, call::kAnswerLost, call::kDown, call::kGood },
    1,
    1 },
  { "store never up", { call::kDown, call::kDown, call::kDown }, 0, 0 },
};

} // namespace

TEST_GROUP(term_reservations){};

TEST(term_reservations, store)
{
  for (const auto& row : kStoreRows) {
    fake_store store;
    store_driver subject("a");
    for (const auto& given : row.calls) {
      subject.Step(store, given);
    }
    const auto lowest = subject.reservations.LowestUsable().value_or(0);
    UNSIGNED_LONGS_EQUAL_TEXT(row.expectLowest, lowest, row.name);
    UNSIGNED_LONGS_EQUAL_TEXT(row.expectSwaps, subject.swaps, row.name);
  }
}

struct delay_row
{
  const char* name;
  unsigned rank;
  std::vector<call> calls;
  milliseconds maxTime;
};

const delay_row kDelayRows[] = {
  { "the first owner accesses the store at once",
    0,
    { call::kGood, call::kGood },
    350ms },
  { "the next ones wait for it", 1, { call::kGood, call::kGood }, 800ms },
  { "a lost race is retried soon",
    0,
    { call::kGood, call::kRaced, call::kGood, call::kGood },
    450ms },
};

// Time until an owner that has just started has a term.
TEST(term_reservations, first_terms_come_soon)
{
  for (const auto& row : kDelayRows) {
    for (const auto* vm : { "a", "b", "c", "d", "e", "f" }) {
      fake_store store;
      store_driver subject(vm);
      subject.reservations.SetRank(row.rank);
      for (const auto given : row.calls) {
        subject.Step(store, given);
      }
      CHECK_TEXT(subject.reservations.LowestUsable().has_value(), row.name);
      CHECK_TEXT(subject.now.time_since_epoch() <= row.maxTime, row.name);
    }
  }
}

TEST(term_reservations, a_broken_record_is_never_overwritten)
{
  fake_store store;
  store.content = { "broken", 7 };
  store_driver subject("a");
  for (int step = 0; step < 10; ++step) {
    subject.Step(store, call::kGood);
  }
  STRCMP_EQUAL("broken", store.content.value.c_str());
  UNSIGNED_LONGS_EQUAL(0, subject.swaps);
}

TEST(term_reservations, terms_are_above_all_seen_and_replenished)
{
  fake_store store;
  store_driver subject("a");
  subject.reservations.ObserveTerm(40);
  subject.Step(store, call::kGood);
  subject.Step(store, call::kGood);
  UNSIGNED_LONGS_EQUAL(41, subject.reservations.LowestUsable().value_or(0));
  subject.reservations.ObserveTerm(41);
  UNSIGNED_LONGS_EQUAL(42, subject.reservations.LowestUsable().value_or(0));
  subject.reservations.ObserveTerm(90);
  CHECK_FALSE(subject.reservations.LowestUsable().has_value());
  subject.Step(store, call::kGood);
  subject.Step(store, call::kGood);
  UNSIGNED_LONGS_EQUAL(91, subject.reservations.LowestUsable().value_or(0));
}

// A pooler that becomes owner of a group again has a new object in the same
// incarnation, which must not take an earlier change for its own.
TEST(term_reservations, a_second_object_of_the_same_incarnation)
{
  fake_store store;
  store_driver first("a");
  first.Step(store, call::kGood);
  first.Step(store, call::kGood);
  store_driver second("a");
  second.reservations.ObserveTerm(1);
  for (const auto given :
       { call::kGood, call::kRequestLost, call::kGood, call::kGood }) {
    second.Step(store, given);
    term_record record;
    CHECK_FALSE(ParseRecord(store.content.value, record));
    CHECK(second.reservations.LowestUsable().value_or(0) <= record.highest);
  }
  UNSIGNED_LONGS_EQUAL(3, second.reservations.LowestUsable().value_or(0));
}

TEST(term_reservations, without_need_no_calls_are_made)
{
  fake_store store;
  store_driver subject("a");
  subject.Step(store, call::kGood);
  subject.Step(store, call::kGood);
  std::vector<action> actions;
  for (int second = 0; second < 3600; ++second) {
    subject.now += milliseconds{ 1000 };
    subject.reservations.Tick(subject.now, actions);
  }
  CHECK(actions.empty());
  CHECK(subject.reservations.NextTick() == time_point::max());
}

TEST(term_reservations, a_primary_is_published_once_the_store_is_up)
{
  fake_store store;
  store_driver subject("a");
  subject.reservations.Publish({ 5, "s2" }, subject.now);
  subject.Step(store, call::kDown);
  subject.Step(store, call::kGood);
  subject.Step(store, call::kGood);
  term_record record;
  CHECK_FALSE(ParseRecord(store.content.value, record));
  UNSIGNED_LONGS_EQUAL(5, record.term);
  STRCMP_EQUAL("s2", record.primary.c_str());
  CHECK(subject.reservations.LowestUsable().value_or(0) > 5);
}

// Several poolers share a store with all kinds of failures: no term is ever
// held by two of them, and the record stays small.
TEST(term_reservations, no_term_is_reserved_twice)
{
  constexpr call kCalls[] = { call::kGood,        call::kGood,
                              call::kDown,        call::kAnswerLost,
                              call::kRequestLost, call::kRaced };
  for (const std::uint64_t seed : { 1, 2, 3, 5, 8, 13, 21, 34 }) {
    std::mt19937_64 generator(seed);
    fake_store store;
    std::vector<store_driver> drivers;
    for (const auto* vm : { "a", "b", "c" }) {
      drivers.emplace_back(vm);
    }
    std::map<position::term_id, std::size_t> given;
    for (int round = 0; round < 300; ++round) {
      const auto index = generator() % drivers.size();
      auto& subject = drivers[index];
      subject.Step(store, kCalls[generator() % std::size(kCalls)]);
      const auto term = subject.reservations.LowestUsable();
      if (!term) {
        continue;
      }
      subject.reservations.MarkUsed(*term);
      CHECK_TEXT(given.emplace(*term, index).second,
                 absl::StrCat("seed ", seed).c_str());
    }
    CHECK(given.size() > 20);
    CHECK(store.content.value.size() < 4096);
  }
}

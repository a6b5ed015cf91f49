#include "currantshed/outcome/stored_outcome.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::clock::wall_time;
using currantshed::outcome::idempotency_key;
using currantshed::outcome::IsKeyInRetention;
using currantshed::outcome::ReadStoredOutcome;
using currantshed::upstream::cell;
using namespace std::chrono_literals;

namespace {

struct record_row
{
  const char* name;
  std::vector<cell> cells;
  bool isThere;
  bool isVoid;
};

const record_row kRecordRows[] = {
  { "none", {}, false, false },
  { "done", { "done", "d" }, true, false },
  { "void", { "void", "d" }, true, true },
  { "an unknown state", { "open", "d" }, false, false },
  { "no state", { std::nullopt, "d" }, false, false },
  { "two rows", { "done", "d", "done", "d" }, false, false },
};

struct age_row
{
  const char* name;
  std::chrono::milliseconds age;
  bool isKept;
};

constexpr age_row kAgeRows[] = {
  { "new", 0ms, true },
  { "almost too old", 24h - 1ms, true },
  { "too old", 24h, false },
  { "issued by a clock slightly ahead", -60s, true },
  { "issued in the future", -60001ms, false },
};

} // namespace

TEST_GROUP(stored_outcome){};

TEST(stored_outcome, read)
{
  for (const auto& row : kRecordRows) {
    const auto stored =
      ReadStoredOutcome({ { "state", "digest" }, row.cells, 0 });
    CHECK_TEXT(stored.has_value() == row.isThere, row.name);
    if (stored) {
      CHECK_TEXT(stored->isVoid == row.isVoid, row.name);
      CHECK_TEXT(stored->digest == "d", row.name);
    }
  }
}

TEST(stored_outcome, retention)
{
  const wall_time now{ 1000h };
  for (const auto& row : kAgeRows) {
    const auto key = idempotency_key::Make(now - row.age, 0, 0);
    CHECK_TEXT(IsKeyInRetention(key, now, 24h) == row.isKept, row.name);
  }
}

#include "currantshed/group/rounds.hpp"

#include <chrono>

#include <CppUTest/TestHarness.h>

using currantshed::clock::time_point;
using currantshed::group::engine_settings;
using currantshed::group::rounds;
using namespace std::chrono_literals;

namespace {

constexpr time_point kStart{ 1h };

enum class end
{
  kNone,
  kAnswered,
  kFailed,
};

// A question is asked at the start and ends at 5 ms; when is the next one?
struct due_row
{
  const char* name;
  end ended;
  bool someoneWaits;
  bool wanted;
  std::chrono::milliseconds due;
};

constexpr due_row kDueRows[] = {
  { "answered, nobody waits", end::kAnswered, false, false, 50ms },
  { "answered, someone waits", end::kAnswered, true, false, 1ms },
  { "answered, but asked too early for a batch",
    end::kAnswered,
    false,
    true,
    1ms },
  { "under way, someone waits", end::kNone, true, true, 150ms },
  { "failed, someone waits", end::kFailed, true, true, 50ms },
};

} // namespace

TEST_GROUP(rounds){};

TEST(rounds, next_question)
{
  for (const auto& row : kDueRows) {
    rounds questions{ engine_settings{} };
    questions.SetMembers({ "s1" });
    LONGS_EQUAL_TEXT(1, questions.Due(false, kStart).size(), row.name);
    if (row.wanted) {
      questions.Want(kStart + 2ms);
    }
    if (row.ended == end::kAnswered) {
      questions.Answered("s1");
    } else if (row.ended == end::kFailed) {
      questions.Failed("s1");
    }
    CHECK_TEXT(questions.NextDue(row.someoneWaits) == kStart + row.due,
               row.name);
    const auto before = kStart + row.due - 1us;
    LONGS_EQUAL_TEXT(
      0, questions.Due(row.someoneWaits, before).size(), row.name);
    LONGS_EQUAL_TEXT(
      1, questions.Due(row.someoneWaits, kStart + row.due).size(), row.name);
  }
}

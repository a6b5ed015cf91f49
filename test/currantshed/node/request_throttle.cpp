#include "currantshed/node/request_throttle.hpp"

#include <chrono>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using node::request_throttle;

namespace {

const clock::time_point kStart{ 1h };

struct row
{
  const char* name;
  /// Time between two words that there is news, and from a question to its
  /// answer; none for answers that never come.
  std::chrono::milliseconds hints;
  std::optional<std::chrono::milliseconds> answer;
  /// Questions in a second.
  int questions;
};

constexpr row kRows[] = {
  { "rare words, each asked for", 100ms, 5ms, 10 },
  { "many words, quick answers", 1ms, 5ms, 50 },
  { "many words, answers that take long: one at a time", 1ms, 200ms, 5 },
  { "lost answers", 1ms, std::nullopt, 4 },
};

int
QuestionsOf(const row& aRow)
{
  request_throttle pace;
  int questions = 0;
  std::optional<clock::time_point> answerAt;
  for (auto at = 0ms; at < 1000ms; at += 1ms) {
    const auto now = kStart + at;
    if (answerAt && now >= *answerAt) {
      pace.OnResponse();
      answerAt.reset();
    }
    if (at % aRow.hints == 0ms && pace.MayRequest(now)) {
      pace.Asked(now);
      ++questions;
      if (aRow.answer) {
        answerAt = now + *aRow.answer;
      }
    }
  }
  return questions;
}

} // namespace

TEST_GROUP(request_throttle){};

TEST(request_throttle, no_request_while_one_is_in_flight)
{
  for (const auto& row : kRows) {
    CHECK_EQUAL_TEXT(row.questions, QuestionsOf(row), row.name);
  }
}

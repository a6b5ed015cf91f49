#include "currantshed/node/question_pace.hpp"

#include <chrono>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using node::question_pace;

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
  question_pace pace;
  int questions = 0;
  std::optional<clock::time_point> answerAt;
  for (auto at = 0ms; at < 1000ms; at += 1ms) {
    const auto now = kStart + at;
    if (answerAt && now >= *answerAt) {
      pace.Answered();
      answerAt.reset();
    }
    if (at % aRow.hints == 0ms && pace.MayAsk(now)) {
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

TEST_GROUP(question_pace){};

TEST(question_pace, no_question_while_one_is_under_way)
{
  for (const auto& row : kRows) {
    CHECK_EQUAL_TEXT(row.questions, QuestionsOf(row), row.name);
  }
}

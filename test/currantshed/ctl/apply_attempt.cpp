#include "currantshed/ctl/apply_attempt.hpp"

#include <vector>

#include "currantshed/platform/errors.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

/// What happens to an attempt, step by step.
enum class event
{
  kApplied,
  kConflict,
  kNoAnswer,
  kReadFails,
  kReadExpected,
  kReadOwn,
  kReadOtherInPlace,
  kReadHigher,
  kReadBroken,
  kGiveUp,
};

struct attempt_row
{
  const char* name;
  std::vector<event> given;
  ctl::apply_step step;
  ctl::apply_end end;
};

using ctl::apply_end;
using ctl::apply_step;

const attempt_row kRows[] = {
  { "applied at once",
    { event::kApplied },
    apply_step::kDone,
    apply_end::kApplied },
  { "lost the race",
    { event::kConflict, event::kReadOtherInPlace },
    apply_step::kDone,
    apply_end::kLostRace },
  { "lost the race by two",
    { event::kConflict, event::kReadHigher },
    apply_step::kDone,
    apply_end::kLostRace },
  { "the answer was lost after the effect",
    { event::kNoAnswer, event::kReadOwn },
    apply_step::kDone,
    apply_end::kApplied },
  { "the answer was lost before the effect: written again",
    { event::kNoAnswer, event::kReadExpected },
    apply_step::kSwap,
    apply_end::kNotKnown },
  { "the second write finds that the first one took effect late",
    { event::kNoAnswer,
      event::kReadExpected,
      event::kConflict,
      event::kReadOwn },
    apply_step::kDone,
    apply_end::kApplied },
  { "the answer was lost and another took the place",
    { event::kNoAnswer, event::kReadOtherInPlace },
    apply_step::kDone,
    apply_end::kLostRace },
  { "the answer was lost and others went on since",
    { event::kNoAnswer, event::kReadHigher },
    apply_step::kDone,
    apply_end::kNotKnown },
  { "read again until there is an answer",
    { event::kNoAnswer, event::kReadFails, event::kReadFails, event::kReadOwn },
    apply_step::kDone,
    apply_end::kApplied },
  { "no time left in doubt",
    { event::kNoAnswer, event::kReadFails, event::kGiveUp },
    apply_step::kDone,
    apply_end::kNotKnown },
  { "no time left before the second write",
    { event::kNoAnswer, event::kReadExpected, event::kGiveUp },
    apply_step::kDone,
    apply_end::kNotKnown },
  { "no time left after a refusal",
    { event::kConflict, event::kReadFails, event::kGiveUp },
    apply_step::kDone,
    apply_end::kLostRace },
  { "what is stored can't be read, in doubt",
    { event::kNoAnswer, event::kReadBroken },
    apply_step::kDone,
    apply_end::kNotKnown },
  { "what is stored can't be read, after a refusal",
    { event::kConflict, event::kReadBroken },
    apply_step::kDone,
    apply_end::kLostRace },
  { "giving up changes no known end",
    { event::kApplied, event::kGiveUp },
    apply_step::kDone,
    apply_end::kApplied },
};

constexpr platform::index kExpected = 40;

platform::entry
Stored(std::uint64_t aVersion, const char* aChange)
{
  return { policy::PrintConfigurationRecord({ aVersion, aChange, "classes:" }),
           kExpected + aVersion };
}

void
Feed(ctl::apply_attempt& aAttempt, event aEvent)
{
  switch (aEvent) {
    case event::kApplied:
      aAttempt.SwapEnded(platform::swap_outcome::kApplied);
      break;
    case event::kConflict:
      aAttempt.SwapEnded(platform::swap_outcome::kConflict);
      break;
    case event::kNoAnswer:
      aAttempt.SwapEnded(platform::swap_outcome::kUnknown);
      break;
    case event::kReadFails:
      aAttempt.ReadEnded(platform::errc::kTimeout, {});
      break;
    case event::kReadExpected:
      aAttempt.ReadEnded({}, { "old", kExpected });
      break;
    case event::kReadOwn:
      aAttempt.ReadEnded({}, Stored(8, "own"));
      break;
    case event::kReadOtherInPlace:
      aAttempt.ReadEnded({}, Stored(8, "other"));
      break;
    case event::kReadHigher:
      aAttempt.ReadEnded({}, Stored(9, "other"));
      break;
    case event::kReadBroken:
      aAttempt.ReadEnded({}, { "{", kExpected + 1 });
      break;
    case event::kGiveUp:
      aAttempt.GiveUp();
      break;
  }
}

} // namespace

TEST_GROUP(apply_attempt){};

TEST(apply_attempt, table)
{
  for (const auto& row : kRows) {
    ctl::apply_attempt attempt({ 8, "own", "classes:" }, kExpected);
    CHECK_TEXT(attempt.Next() == apply_step::kSwap, row.name);
    for (const auto one : row.given) {
      Feed(attempt, one);
    }
    CHECK_TEXT(attempt.Next() == row.step, row.name);
    CHECK_TEXT(attempt.End() == row.end, row.name);
  }
}

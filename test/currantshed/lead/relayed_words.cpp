#include <vector>

#include "test/currantshed/lead/bench.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace currantshed::test;

namespace {

/// An update of a lock holder, as it arrives over some path.
struct word
{
  std::uint64_t epoch;
  std::uint64_t sequence;
  position::term_id revoked;
};

struct order_row
{
  const char* name;
  std::vector<word> heard;
  /// The revoked term that the VM acknowledges in the end.
  position::term_id obeyed;
};

const order_row kRows[] = {
  { "a revocation", { { 9, 1, 1 } }, 1 },
  { "a revocation that is lifted", { { 9, 1, 1 }, { 9, 2, 0 } }, 0 },
  { "the update before a revocation arrives after it over a slower path",
    { { 9, 0, 0 }, { 9, 1, 1 }, { 9, 0, 0 } },
    1 },
  { "the same revocation over two paths", { { 9, 1, 1 }, { 9, 1, 1 } }, 1 },
  { "a revocation that was lifted arrives again over a slower path",
    { { 9, 1, 1 }, { 9, 2, 0 }, { 9, 1, 1 } },
    0 },
  { "a new lock holder restarts the sequence",
    { { 9, 7, 1 }, { 12, 0, 0 } },
    0 },
  { "an update of a former lock holder arrives late",
    { { 12, 1, 1 }, { 9, 7, 0 } },
    1 },
  { "an update without the lock revokes nothing",
    { { 9, 1, 1 }, { 0, 0, 0 } },
    1 },
};

} // namespace

TEST_GROUP(relayed_words){};

TEST(relayed_words, count_in_the_order_in_which_they_were_said)
{
  for (const auto& row : kRows) {
    bench made;
    for (const auto& one : row.heard) {
      made.lead.HeardWatch(
        { {}, std::nullopt, one.revoked, one.epoch, one.sequence }, made.now);
    }
    CHECK_TEXT(made.lead.Reach(std::nullopt).obeyedTerm == row.obeyed,
               row.name);
    const auto passedOn = made.lead.Relayed();
    CHECK_TEXT(passedOn.revokedTerm == row.obeyed, row.name);
  }
}

TEST(relayed_words, a_holders_word_tells_its_changes_apart)
{
  bench made;
  made.lead.SetDuty(true, 9, made.now);
  made.Run(1000ms);
  const auto before = made.lead.Watch();
  CHECK(before.epoch == 9);
  CHECK(before.revokedTerm == 0);
  made.Run(1000ms);
  CHECK(made.lead.Watch().sequence == before.sequence);
  made.servers["a"].answers = false;
  for (int step = 0; step < 300 && made.lead.Watch().revokedTerm == 0; ++step) {
    made.Run(10ms);
  }
  const auto revoking = made.lead.Watch();
  CHECK(revoking.revokedTerm == 1);
  CHECK(revoking.sequence > before.sequence);
}

TEST(relayed_words, carry_the_position_that_they_brought)
{
  bench made;
  const proxy::position_sample sample{ 1, { 1, 10 }, made.now };
  made.lead.HeardWatch({ { 1, "a", made.now }, sample, 0, 9, 0 }, made.now);
  const auto passedOn = made.lead.Relayed();
  CHECK(passedOn.proof.primary == "a");
  CHECK(passedOn.sample.has_value());
  CHECK(passedOn.sample->position == sample.position);
  CHECK(passedOn.epoch == 9);
}

#include <vector>

#include "test/currantshed/lead/monitor_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace currantshed::test;

namespace {

/// The word of a holder of the duty, as it comes by one way or another.
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
  /// The term that the VM does not rest on in the end.
  position::term_id obeyed;
};

const order_row kRows[] = {
  { "a revocation", { { 9, 1, 1 } }, 1 },
  { "a revocation that is lifted", { { 9, 1, 1 }, { 9, 2, 0 } }, 0 },
  { "the word before a revocation comes after it by a slower way",
    { { 9, 0, 0 }, { 9, 1, 1 }, { 9, 0, 0 } },
    1 },
  { "the same revocation by two ways", { { 9, 1, 1 }, { 9, 1, 1 } }, 1 },
  { "a revocation that was lifted comes again by a slower way",
    { { 9, 1, 1 }, { 9, 2, 0 }, { 9, 1, 1 } },
    0 },
  { "a new holder begins to count anew", { { 9, 7, 1 }, { 12, 0, 0 } }, 0 },
  { "a former holder's word comes late", { { 12, 1, 1 }, { 9, 7, 0 } }, 1 },
  { "who only passes a proof on has no say", { { 9, 1, 1 }, { 0, 0, 0 } }, 1 },
};

} // namespace

TEST_GROUP(forwarded_updates){};

TEST(forwarded_updates, apply_in_the_order_in_which_they_were_sent)
{
  for (const auto& row : kRows) {
    monitor_fixture made;
    for (const auto& one : row.heard) {
      made.lead.WatchUpdateReceived(
        { {}, std::nullopt, one.revoked, one.epoch, one.sequence }, made.now);
    }
    CHECK_TEXT(made.lead.ReachUpdate(std::nullopt).acknowledgedTerm ==
                 row.obeyed,
               row.name);
    const auto passedOn = made.lead.ForwardedUpdate();
    CHECK_TEXT(passedOn.revokedTerm == row.obeyed, row.name);
  }
}

TEST(forwarded_updates, the_sequence_rises_with_each_revocation_change)
{
  monitor_fixture made;
  made.lead.SetFailoverLock(true, 9, made.now);
  made.Run(1000ms);
  const auto before = made.lead.WatchUpdate();
  CHECK(before.epoch == 9);
  CHECK(before.revokedTerm == 0);
  made.Run(1000ms);
  CHECK(made.lead.WatchUpdate().sequence == before.sequence);
  made.servers["a"].answers = false;
  for (int step = 0; step < 300 && made.lead.WatchUpdate().revokedTerm == 0;
       ++step) {
    made.Run(10ms);
  }
  const auto revoking = made.lead.WatchUpdate();
  CHECK(revoking.revokedTerm == 1);
  CHECK(revoking.sequence > before.sequence);
}

TEST(forwarded_updates, carry_the_position_sample)
{
  monitor_fixture made;
  const proxy::position_sample sample{ 1, { 1, 10 }, made.now };
  made.lead.WatchUpdateReceived({ { 1, "a", made.now }, sample, 0, 9, 0 },
                                made.now);
  const auto passedOn = made.lead.ForwardedUpdate();
  CHECK(passedOn.confirmation.primary == "a");
  CHECK(passedOn.sample.has_value());
  CHECK(passedOn.sample->position == sample.position);
  CHECK(passedOn.epoch == 9);
}

#include <vector>

#include "test/currantshed/lead/monitor_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace currantshed::test;

namespace {

/// An update of a lock holder, as it arrives over some path.
struct received_update
{
  std::uint64_t epoch;
  std::uint64_t sequence;
  position::term_id revoked;
};

struct promotion_row
{
  const char* name;
  std::vector<received_update> received;
  /// The revoked term that the VM acknowledges in the end.
  position::term_id acknowledged;
};

const promotion_row kRows[] = {
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

TEST_GROUP(forwarded_updates){};

TEST(forwarded_updates, apply_in_the_order_in_which_they_were_sent)
{
  for (const auto& row : kRows) {
    monitor_fixture fixture;
    for (const auto& one : row.received) {
      fixture.monitor.WatchUpdateReceived(
        { {}, std::nullopt, one.revoked, one.epoch, one.sequence },
        fixture.now);
    }
    CHECK_TEXT(fixture.monitor.ReachUpdate(std::nullopt).acknowledgedTerm ==
                 row.acknowledged,
               row.name);
    const auto forwarded = fixture.monitor.ForwardedUpdate();
    CHECK_TEXT(forwarded.revokedTerm == row.acknowledged, row.name);
  }
}

TEST(forwarded_updates, the_sequence_rises_with_each_revocation_change)
{
  monitor_fixture fixture;
  fixture.monitor.SetFailoverLock(true, 9, fixture.now);
  fixture.Run(1000ms);
  const auto before = fixture.monitor.WatchUpdate();
  CHECK(before.epoch == 9);
  CHECK(before.revokedTerm == 0);
  fixture.Run(1000ms);
  CHECK(fixture.monitor.WatchUpdate().sequence == before.sequence);
  fixture.servers["a"].answers = false;
  for (int step = 0;
       step < 300 && fixture.monitor.WatchUpdate().revokedTerm == 0;
       ++step) {
    fixture.Run(10ms);
  }
  const auto revoking = fixture.monitor.WatchUpdate();
  CHECK(revoking.revokedTerm == 1);
  CHECK(revoking.sequence > before.sequence);
}

TEST(forwarded_updates, carry_the_position_sample)
{
  monitor_fixture fixture;
  const proxy::position_sample sample{ 1, { 1, 10 }, fixture.now };
  fixture.monitor.WatchUpdateReceived(
    { { 1, "a", fixture.now }, sample, 0, 9, 0 }, fixture.now);
  const auto forwarded = fixture.monitor.ForwardedUpdate();
  CHECK(forwarded.confirmation.primary == "a");
  CHECK(forwarded.sample.has_value());
  CHECK(forwarded.sample->position == sample.position);
  CHECK(forwarded.epoch == 9);
}

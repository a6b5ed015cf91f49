#include "currantshed/pool/connection_pool.hpp"

#include <chrono>

#include <CppUTest/TestHarness.h>

using currantshed::clock::time_point;
using currantshed::pool::ComputePoolLimits;
using currantshed::pool::connection_pool;
using namespace std::chrono_literals;

namespace {

constexpr time_point kStart{ 1h };

struct share_row
{
  const char* name;
  unsigned connections;
  unsigned slots;
  double reserve;
  unsigned expectConnections;
  unsigned expectSlots;
};

constexpr share_row kShareRows[] = {
  { "claimsbook", 16, 2, 0.5, 4, 2 }, { "planner-db", 55, 5, 0.5, 23, 5 },
  { "no reserve", 16, 2, 0, 12, 2 },  { "hardly any", 8, 2, 0.5, 1, 2 },
  { "one", 1, 0, 0.5, 1, 1 },
};

} // namespace

TEST_GROUP(connection_pool){};

TEST(connection_pool, share)
{
  for (const auto& row : kShareRows) {
    const auto share =
      ComputePoolLimits(row.connections, row.slots, row.reserve);
    LONGS_EQUAL_TEXT(row.expectConnections, share.connections, row.name);
    LONGS_EQUAL_TEXT(row.expectSlots, share.slots, row.name);
  }
}

TEST(connection_pool, slots_and_connections_are_limits)
{
  connection_pool pool;
  pool.SetLimits({ 2, 1 });
  CHECK(pool.MayOpen(kStart));
  pool.Add(1, false);
  CHECK_FALSE(pool.Idle(false).has_value());
  pool.Opened(1);
  pool.Add(2, true);
  CHECK_FALSE(pool.MayOpen(kStart));
  pool.Opened(2);
  CHECK(pool.Idle(false) == 1);
  CHECK(pool.Idle(true) == 2);
  pool.CheckOut(1);
  CHECK_FALSE(pool.Idle(false).has_value());
  CHECK(pool.HasSlot());
  pool.BatchStarted(1);
  CHECK_FALSE(pool.HasSlot());
  // The idle one of the other kind could make place.
  CHECK(pool.CanProvide(false, kStart));
  pool.BatchEnded(1);
  CHECK(pool.HasSlot());
  pool.CheckIn(1);
  CHECK(pool.Idle(false) == 1);
}

TEST(connection_pool, a_removed_connection_gives_its_slot_back)
{
  connection_pool pool;
  pool.SetLimits({ 2, 1 });
  pool.Add(1, false);
  pool.Opened(1);
  pool.CheckOut(1);
  pool.BatchStarted(1);
  pool.Remove(1);
  CHECK(pool.HasSlot());
  LONGS_EQUAL(0, pool.Connections());
}

TEST(connection_pool, refused_connections_back_off)
{
  connection_pool pool;
  pool.SetLimits({ 2, 1 });
  const std::chrono::milliseconds waits[] = { 20ms,  40ms,  80ms,   160ms,
                                              320ms, 640ms, 1000ms, 1000ms };
  auto now = kStart;
  for (const auto wait : waits) {
    pool.Add(1, false);
    pool.Failed(1, now);
    CHECK_FALSE(pool.MayOpen(now + wait - 1ms));
    CHECK(pool.MayOpen(now + wait));
    now += wait;
  }
  pool.Add(1, false);
  pool.Opened(1);
  pool.Remove(1);
  pool.Add(2, false);
  pool.Failed(2, now);
  CHECK(pool.MayOpen(now + 20ms));
}

// A server that has restarted empty must not be promoted over one that holds
// acknowledged commits. A draining primary had stepped down, and both other
// servers of its group restarted empty before one of them became primary. The
// takeover did not consider the old primary, which still held all acknowledged
// commits, and had an empty server promoted.
#include <chrono>

#include "test/currantshed/lead/monitor_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using test::monitor_fixture;

TEST_GROUP(empty_candidates){};

TEST(empty_candidates, are_not_promoted_over_a_server_with_acknowledged_commits)
{
  monitor_fixture fixture;
  fixture.promotionDelay = 1000ms;
  fixture.servers["a"].received = { 1, 20 };
  fixture.servers["b"].received = { 1, 20 };
  fixture.monitor.SetFailoverLock(true, 7, fixture.now);
  fixture.Run(2000ms);
  fixture.monitor.Configure({ { "a", false, true }, { "b" }, { "c" } },
                            fixture.now);
  fixture.Run(100ms);
  fixture.pendingPromotions.clear();
  const proxy::start_time again{ 2000ms };
  fixture.servers["b"].received = { 1, 0 };
  fixture.servers["c"].received = { 1, 0 };
  fixture.monitor.Configure({ { "a", false, true },
                              { "b", false, false, again },
                              { "c", false, false, again } },
                            fixture.now);
  const auto ordered = fixture.promoted.size();
  fixture.Run(3000ms);
  for (auto order = ordered; order < fixture.promoted.size(); ++order) {
    CHECK(fixture.promoted[order] == "a");
  }
  CHECK(fixture.promoted.size() > ordered);
}

// A primary that leaves had stepped down, and both other servers of its group
// started again, empty, before one of them led. The change does not consider
// the old primary, which still holds every acknowledged commit, and has an
// empty server promoted:
//   lead step=begun detail=draining old=group-0-0
//   server_standing server=group-0-1 and group-0-2, each with a new start
//   lead step=promote detail=group-0-1
#include <chrono>

#include "test/currantshed/lead/monitor_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using test::monitor_fixture;

TEST_GROUP(empty_candidates){};

TEST(empty_candidates, are_not_promoted_over_a_server_with_acknowledged_commits)
{
  monitor_fixture made;
  made.promotesAfter = 1000ms;
  made.servers["a"].received = { 1, 20 };
  made.servers["b"].received = { 1, 20 };
  made.lead.SetFailoverLock(true, 7, made.now);
  made.Run(2000ms);
  made.lead.Configure({ { "a", false, true }, { "b" }, { "c" } }, made.now);
  made.Run(100ms);
  made.promoting.clear();
  const proxy::start_time again{ 2000ms };
  made.servers["b"].received = { 1, 0 };
  made.servers["c"].received = { 1, 0 };
  made.lead.Configure({ { "a", false, true },
                        { "b", false, false, again },
                        { "c", false, false, again } },
                      made.now);
  const auto ordered = made.promoted.size();
  made.Run(3000ms);
  for (auto order = ordered; order < made.promoted.size(); ++order) {
    CHECK(made.promoted[order] == "a");
  }
  CHECK(made.promoted.size() > ordered);
}

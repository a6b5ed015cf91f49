#include <chrono>

#include "test/currantshed/group/fake_group.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::group::answer;
using currantshed::outcome::verdict;
using currantshed::test::fake_group;
using namespace std::chrono_literals;

TEST_GROUP(end_to_end){};

TEST(end_to_end, a_write_is_read_back_from_a_replica)
{
  fake_group group;
  group.Run(100ms);
  const auto written = group.Call(group.Write("frame-17"));
  CHECK(written.verdict == verdict::kDone);
  CHECK(written.servedBy == "s1");
  auto read = group.Read(10s);
  read.floor = written.position;
  const auto seen = group.Call(read);
  CHECK(seen.verdict == verdict::kDone);
  CHECK(seen.byReplica);
  LONGS_EQUAL(1, seen.results.size());
  CHECK(seen.results[0].cells[0] == "frame-17");
  CHECK(seen.position >= written.position);
}

TEST(end_to_end, a_fresh_read_comes_from_the_primary)
{
  fake_group group;
  group.Run(100ms);
  static_cast<void>(group.Call(group.Write("frame-18")));
  const auto seen = group.Call(group.Read(0ms));
  CHECK(seen.verdict == verdict::kDone);
  CHECK_FALSE(seen.byReplica);
  CHECK(seen.results[0].cells[0] == "frame-18");
}

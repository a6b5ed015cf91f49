#include <algorithm>
#include <chrono>
#include <vector>

#include "test/currantshed/group/fake_group.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::group::operation;
using currantshed::group::request;
using currantshed::group::request_id;
using currantshed::outcome::reason;
using currantshed::outcome::verdict;
using currantshed::test::fake_group;
using namespace std::chrono_literals;

namespace {

// Each kind of request and its answer while the pooler is draining.
struct drain_row
{
  const char* name;
  operation kind;
  verdict expectedVerdict;
  reason why;
};

const drain_row kDrainRows[] = {
  { "read", operation::kRead, verdict::kNotRun, reason::kLeaving },
  { "write", operation::kWrite, verdict::kNotRun, reason::kLeaving },
  { "begin", operation::kBegin, verdict::kNotRun, reason::kLeaving },
  { "resolve", operation::kResolve, verdict::kNotRun, reason::kLeaving },
};

// Outcome of resolving a key, by what happened under it before.
struct resolve_row
{
  const char* name;
  void (*before)(fake_group&, const request&);
  void (*during)(fake_group&);
  verdict expectedVerdict;
  reason why;
};

const resolve_row kResolveRows[] = {
  { "never seen: voided",
    [](fake_group&, const request&) {},
    [](fake_group&) {},
    verdict::kNotRun,
    reason::kKeyVoid },
  { "done",
    [](fake_group& aGroup, const request& aWrite) {
      static_cast<void>(aGroup.Call(aWrite));
    },
    [](fake_group&) {},
    verdict::kDone,
    reason::kNone },
  { "no primary in time: unknown",
    [](fake_group& aGroup, const request&) {
      aGroup.Server("s1").cut = true;
      aGroup.Run(300ms);
    },
    [](fake_group&) {},
    verdict::kUnknown,
    reason::kDeadline },
  { "the next primary comes in time",
    [](fake_group& aGroup, const request& aWrite) {
      static_cast<void>(aGroup.Call(aWrite));
      aGroup.Server("s1").cut = true;
      aGroup.Run(300ms);
    },
    [](fake_group& aGroup) {
      aGroup.Promote("s2", { "s2", "s3" });
    },
    verdict::kDone,
    reason::kNone },
};

} // namespace

TEST_GROUP(engine){};

TEST(engine, resolve)
{
  for (const auto& row : kResolveRows) {
    fake_group group;
    group.Run(100ms);
    const auto write = group.Write("report");
    row.before(group, write);
    auto resolve = group.Write("ignored");
    resolve.kind = operation::kResolve;
    resolve.key = write.key;
    const auto id = group.Submit(resolve);
    group.Run(10ms);
    row.during(group);
    const auto* result = group.Wait(id, 2001ms);
    CHECK_TEXT(result != nullptr, row.name);
    CHECK_TEXT(result->verdict == row.expectedVerdict, row.name);
    CHECK_TEXT(result->why == row.why, row.name);
  }
}

TEST(engine, reconfirm)
{
  fake_group group;
  group.Run(100ms);
  const auto written = group.Call(group.Write("report"));
  auto reconfirm = group.In(operation::kReconfirm, 0);
  reconfirm.position = written.position;
  CHECK(group.Call(reconfirm).verdict == verdict::kDone);
  group.Server("s1").cut = true;
  group.Promote("s2", { "s2", "s3" });
  reconfirm.deadline = group.Now() + 500ms;
  CHECK(group.Call(reconfirm).verdict == verdict::kUnknown);
}

TEST(engine, a_draining_pooler_takes_no_new_work)
{
  for (const auto& row : kDrainRows) {
    fake_group group;
    group.Run(100ms);
    group.Engine().Drain(group.Now());
    auto asked = group.Write("report");
    asked.kind = row.kind;
    const auto result = group.Call(asked);
    CHECK_TEXT(result.verdict == row.expectedVerdict, row.name);
    CHECK_TEXT(result.why == row.why, row.name);
    CHECK_TEXT(result.retryAfter > 0ms, row.name);
  }
}

TEST(engine, a_draining_pooler_ends_what_is_in_progress)
{
  fake_group group;
  group.Run(100ms);
  const auto id = group.Submit(group.Write("report"));
  group.Engine().Drain(group.Now());
  CHECK(group.Wait(id, 100ms)->verdict == verdict::kDone);
  LONGS_EQUAL(0, group.Engine().Pending());
}

TEST(engine, a_leaving_server_gets_no_new_work)
{
  fake_group group;
  group.Run(100ms);
  group.SetLeaving("s2", true);
  for (int i = 0; i < 20; ++i) {
    CHECK(group.Call(group.Read(10s)).verdict == verdict::kDone);
  }
  LONGS_EQUAL(0, group.Server("s2").executed.size());
  group.Run(100ms);
  LONGS_EQUAL(0, group.Server("s2").connections);
}

TEST(engine, answers_come_at_the_deadline_at_the_latest)
{
  // More requests than fit into the slots of a frozen group.
  fake_group group;
  group.Run(100ms);
  for (const auto* server : { "s1", "s2", "s3" }) {
    group.Server(server).frozen = true;
  }
  std::vector<request_id> asked;
  for (int i = 0; i < 10; ++i) {
    auto write = group.Write("report");
    write.deadline = group.Now() + 100ms;
    asked.push_back(group.Submit(write));
    auto read = group.Read(10s);
    read.deadline = group.Now() + 100ms;
    asked.push_back(group.Submit(read));
  }
  group.Run(101ms);
  for (const auto id : asked) {
    CHECK(group.Answer(id) != nullptr);
    CHECK(group.Answer(id)->verdict != verdict::kDone);
  }
  LONGS_EQUAL(0, group.Engine().Pending());
}

TEST(engine, a_waiting_write_that_runs_out_of_time_has_not_run)
{
  fake_group group;
  group.Run(100ms);
  group.Server("s1").frozen = true;
  std::vector<request_id> asked;
  for (int i = 0; i < 5; ++i) {
    auto write = group.Write("report");
    write.deadline = group.Now() + 100ms;
    asked.push_back(group.Submit(write));
  }
  group.Run(101ms);
  // One request got a connection; a frozen server accepts no further ones.
  const auto unknown =
    std::count_if(asked.begin(), asked.end(), [&group](request_id aId) {
      return group.Answer(aId)->verdict == verdict::kUnknown;
    });
  LONGS_EQUAL(1, unknown);
  group.Thaw("s1");
  group.Run(100ms);
  CHECK(group.Values().size() <= 1);
}

TEST(engine, cancelled_requests_get_no_answer)
{
  fake_group group;
  group.Run(100ms);
  const auto running = group.Submit(group.Write("running"));
  std::vector<request_id> waiting;
  waiting.reserve(4);
  for (int i = 0; i < 4; ++i) {
    waiting.push_back(group.Submit(group.Write("waiting")));
  }
  group.Engine().Cancel(running, group.Now());
  for (const auto id : waiting) {
    group.Engine().Cancel(id, group.Now());
  }
  group.Run(100ms);
  CHECK(group.Answer(running) == nullptr);
  LONGS_EQUAL(0, group.Engine().Pending());
  const auto values = group.Values();
  LONGS_EQUAL(1, std::count(values.begin(), values.end(), "running"));
  CHECK(std::count(values.begin(), values.end(), "waiting") <= 1);
  CHECK(group.Call(group.Write("next")).verdict == verdict::kDone);
}

TEST(engine, limits_of_servers_are_kept)
{
  fake_group group;
  group.Run(100ms);
  for (int i = 0; i < 100; ++i) {
    static_cast<void>(group.Submit(group.Write("report")));
    static_cast<void>(group.Submit(group.Read(10s)));
    static_cast<void>(group.Submit(group.Read(0ms)));
    group.Run(1ms);
  }
  group.Run(2000ms);
  for (const auto* server : { "s1", "s2", "s3" }) {
    CHECK(group.Server(server).maxConnections <= 4);
    CHECK(group.Server(server).maxRunning <= 2);
  }
}

TEST(engine, memory_is_bounded)
{
  currantshed::group::engine_settings settings;
  settings.queueLimit = 8;
  fake_group group(settings);
  group.Run(100ms);
  group.Server("s1").frozen = true;
  std::size_t refused = 0;
  for (int i = 0; i < 100; ++i) {
    const auto id = group.Submit(group.Write("report"));
    const auto* result = group.Answer(id);
    if (result != nullptr) {
      CHECK(result->why == reason::kOverloaded);
      CHECK(result->retryAfter > 0ms);
      ++refused;
    }
  }
  // One request is in progress and eight wait.
  LONGS_EQUAL(91, refused);
}

TEST(engine, a_torn_read_runs_elsewhere_within_the_budget)
{
  fake_group group;
  group.Run(100ms);
  group.Server("s2").tearNextBatch = true;
  group.Server("s3").tearNextBatch = true;
  const auto result = group.Call(group.Read(10s));
  CHECK(result.verdict == verdict::kDone);
}

TEST(engine, the_first_request_waits_for_the_first_statuses)
{
  fake_group group;
  const auto written = group.Call(group.Write("report"));
  CHECK(written.verdict == verdict::kDone);
}

TEST(engine, a_lost_connection_tears_what_runs_on_it)
{
  fake_group group;
  group.Run(100ms);
  const auto id = group.Submit(group.Write("report", true));
  group.Run(1ms);
  group.LoseConnections("s1");
  const auto* result = group.Wait(id, 500ms);
  CHECK(result != nullptr);
  CHECK(result->verdict == verdict::kDone);
  const auto values = group.Values();
  LONGS_EQUAL(1, std::count(values.begin(), values.end(), "report"));
}

TEST(engine, a_long_read_is_not_run_twice)
{
  fake_group group;
  group.Run(100ms);
  group.batchTime = 1500ms;
  const auto result = group.Call(group.Read(10s));
  CHECK(result.verdict == verdict::kDone);
  const auto runs = group.Server("s2").executed.size() +
                    group.Server("s3").executed.size() +
                    group.Server("s1").executed.size();
  LONGS_EQUAL(1, runs);
}

TEST(engine, a_server_removed_from_the_list_is_not_used)
{
  fake_group group;
  group.Run(100ms);
  auto begin = group.Read(10s);
  begin.kind = operation::kBegin;
  begin.work.servedIn = { "d3" };
  const auto begun = group.Call(begin);
  CHECK(begun.verdict == verdict::kDone);
  group.Drop("s3");
  const auto result =
    group.Call(group.In(operation::kStatement, begun.transaction, "list"));
  CHECK(result.why == reason::kTransactionLost);
  LONGS_EQUAL(0, group.Engine().Pending());
  LONGS_EQUAL(0, group.Server("s3").connections);
  CHECK(group.Call(group.Write("report")).verdict == verdict::kDone);
}

TEST(engine, a_server_that_moved_gets_new_connections)
{
  fake_group group;
  group.Run(100ms);
  CHECK(group.Server("s1").connections > 0);
  group.Move("s1");
  LONGS_EQUAL(0, group.Server("s1").connections);
  CHECK(group.Call(group.Write("report")).verdict == verdict::kDone);
}

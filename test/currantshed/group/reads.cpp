#include <chrono>

#include "test/currantshed/group/fake_group.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::group::request;
using currantshed::outcome::reason;
using currantshed::outcome::verdict;
using currantshed::test::fake_group;
using namespace std::chrono_literals;

namespace {

using act = void (*)(fake_group&);

// One write is made before each read, and faults are injected in between.
struct read_row
{
  const char* name;
  std::chrono::milliseconds maxStaleness;
  bool withFloor;
  act before;
  verdict expectedVerdict;
  reason why;
  bool byReplica;
  /// Whether the rows must show the write.
  bool showsWrite;
};

void
LagReplicas(fake_group& aGroup)
{
  aGroup.Server("s2").applyPaused = true;
  aGroup.Server("s3").applyPaused = true;
}

const read_row kReadRows[] = {
  { "replicas are up to date",
    10s,
    true,
    [](fake_group&) {},
    verdict::kDone,
    reason::kNone,
    true,
    true },
  { "fresh: the primary",
    0ms,
    false,
    [](fake_group&) {},
    verdict::kDone,
    reason::kNone,
    false,
    true },
  { "a token does not imply freshness",
    0ms,
    true,
    [](fake_group&) {},
    verdict::kDone,
    reason::kNone,
    false,
    true },
  { "replicas behind the token: the primary",
    10s,
    true,
    LagReplicas,
    verdict::kDone,
    reason::kNone,
    false,
    true },
  { "replicas behind, but within the bound and no token",
    10s,
    false,
    LagReplicas,
    verdict::kDone,
    reason::kNone,
    true,
    false },
  { "replicas behind the bound: the primary",
    50ms,
    false,
    LagReplicas,
    verdict::kDone,
    reason::kNone,
    false,
    true },
  { "one replica behind the token: the other",
    10s,
    true,
    [](fake_group& aGroup) { aGroup.Server("s2").applyPaused = true; },
    verdict::kDone,
    reason::kNone,
    true,
    true },
  { "the primary is gone: replicas within the bound",
    10s,
    true,
    [](fake_group& aGroup) { aGroup.Server("s1").cut = true; },
    verdict::kDone,
    reason::kNone,
    true,
    true },
  { "the primary is gone and the bound has passed",
    400ms,
    false,
    [](fake_group& aGroup) {
      aGroup.Server("s1").cut = true;
      aGroup.Run(500ms);
    },
    verdict::kNotRun,
    reason::kNoPrimary,
    false,
    false },
  { "the primary is gone: no fresh read",
    0ms,
    false,
    [](fake_group& aGroup) {
      aGroup.Server("s1").cut = true;
      aGroup.Run(300ms);
    },
    verdict::kNotRun,
    reason::kNoPrimary,
    false,
    false },
  { "replicas fenced for the next term, within the bound",
    10s,
    true,
    [](fake_group& aGroup) {
      aGroup.Server("s1").cut = true;
      aGroup.Fence("s2", 2);
      aGroup.Fence("s3", 2);
      aGroup.Run(300ms);
    },
    verdict::kDone,
    reason::kNone,
    true,
    true },
  { "replicas cut off: the primary alone has no majority",
    0ms,
    false,
    [](fake_group& aGroup) {
      aGroup.Server("s2").cut = true;
      aGroup.Server("s3").cut = true;
      aGroup.Run(300ms);
    },
    verdict::kNotRun,
    reason::kNoPrimary,
    false,
    false },
  { "a replica freezes: the read runs elsewhere",
    10s,
    true,
    [](fake_group& aGroup) { aGroup.Server("s2").frozen = true; },
    verdict::kDone,
    reason::kNone,
    true,
    true },
  { "replicas are marked as leaving: the primary",
    10s,
    true,
    [](fake_group& aGroup) {
      aGroup.SetLeaving("s2", true);
      aGroup.SetLeaving("s3", true);
    },
    verdict::kDone,
    reason::kNone,
    false,
    true },
};

// Reads that are invalid, or that may run in certain failure domains only.
struct served_in_row
{
  const char* name;
  void (*change)(fake_group&, request&);
  verdict expectedVerdict;
  reason why;
  const char* servedBy;
};

const served_in_row kServedInRows[] = {
  { "only where s3 is",
    [](fake_group&, request& aRequest) { aRequest.work.servedIn = { "d3" }; },
    verdict::kDone,
    reason::kNone,
    "s3" },
  { "only where the primary is",
    [](fake_group&, request& aRequest) { aRequest.work.servedIn = { "d1" }; },
    verdict::kDone,
    reason::kNone,
    "s1" },
  { "nowhere",
    [](fake_group&, request& aRequest) { aRequest.work.servedIn = {}; },
    verdict::kNotRun,
    reason::kNoEligibleServer,
    "" },
  { "only where a server marked as leaving is",
    [](fake_group& aGroup, request& aRequest) {
      aRequest.work.servedIn = { "d3" };
      aGroup.SetLeaving("s3", true);
    },
    verdict::kNotRun,
    reason::kNoEligibleServer,
    "" },
  { "fresh, but not where the primary is",
    [](fake_group&, request& aRequest) {
      aRequest.work.servedIn = { "d2", "d3" };
      aRequest.fresh = true;
    },
    verdict::kNotRun,
    reason::kNoEligibleServer,
    "" },
  { "a statement that changes data",
    [](fake_group&, request& aRequest) {
      aRequest.statements = { { "add x", {} } };
    },
    verdict::kRefused,
    reason::kStatement,
    "" },
  { "a session's position that no server has",
    [](fake_group&, request& aRequest) {
      aRequest.floor = { 9, 9 };
    },
    verdict::kNotRun,
    reason::kTooStale,
    "" },
};

} // namespace

TEST_GROUP(reads){};

TEST(reads, the_server_fits_the_bound_and_the_token)
{
  for (const auto& row : kReadRows) {
    fake_group group;
    group.Run(100ms);
    static_cast<void>(group.Call(group.Write("early")));
    group.Run(100ms);
    const auto isLagging = row.before == LagReplicas;
    if (isLagging) {
      row.before(group);
    }
    const auto written = group.Call(group.Write("late"));
    CHECK_TEXT(written.verdict == verdict::kDone, row.name);
    group.Run(100ms);
    if (!isLagging) {
      row.before(group);
    }
    auto read = group.Read(row.maxStaleness);
    if (row.withFloor) {
      read.floor = written.position;
    }
    const auto result = group.Call(read);
    CHECK_TEXT(result.verdict == row.expectedVerdict, row.name);
    CHECK_TEXT(result.why == row.why, row.name);
    CHECK_TEXT(result.byReplica == row.byReplica, row.name);
    if (result.verdict == verdict::kDone) {
      LONGS_EQUAL_TEXT(
        row.showsWrite ? 2 : 1, result.results[0].cells.size(), row.name);
    }
  }
}

TEST(reads, served_in_is_a_hard_limit)
{
  for (const auto& row : kServedInRows) {
    fake_group group;
    group.Run(100ms);
    auto read = group.Read(10s);
    row.change(group, read);
    const auto result = group.Call(read);
    CHECK_TEXT(result.verdict == row.expectedVerdict, row.name);
    CHECK_TEXT(result.why == row.why, row.name);
    CHECK_TEXT(result.servedBy == row.servedBy, row.name);
  }
}

TEST(reads, unconfirmed_changes_are_not_shown)
{
  // The primary commits without its replicas; no server may show the change.
  fake_group group;
  group.Run(100ms);
  group.Server("s1").isolated = true;
  static_cast<void>(group.Submit(group.Write("unseen")));
  group.Run(20ms);
  const auto result = group.Call(group.Read(0ms));
  CHECK(result.verdict == verdict::kNotRun);
  CHECK(result.results.empty());
}

TEST(reads, a_replaced_primary_serves_no_fresh_read)
{
  fake_group group;
  group.Run(100ms);
  group.Server("s1").isolated = true;
  group.Promote("s2", { "s2", "s3" });
  const auto result = group.Call(group.Read(0ms));
  CHECK(result.verdict == verdict::kDone);
  CHECK(result.servedBy == "s2");
}

TEST(reads, an_answer_over_the_limit_is_refused_and_not_repeated)
{
  fake_group group;
  group.Run(100ms);
  for (const auto* server : { "s1", "s2", "s3" }) {
    group.Server(server).tearNextReply = true;
    group.Server(server).oversize = true;
  }
  const auto result = group.Call(group.Read(10s));
  CHECK(result.verdict == verdict::kRefused);
  CHECK(result.why == reason::kAnswerTooLarge);
  std::size_t runs = 0;
  for (const auto* server : { "s1", "s2", "s3" }) {
    runs += group.Server(server).executed.size();
  }
  LONGS_EQUAL(1, runs);
}

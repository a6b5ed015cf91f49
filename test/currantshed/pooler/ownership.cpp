#include "currantshed/pooler/ownership.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace currantshed;

namespace {

constexpr clock::time_point kStart{ 100s };
constexpr auto kGrace = 3s;

struct step
{
  std::chrono::milliseconds at;
  /// Groups assigned at this time.
  std::vector<group::group_name> assigned;
  /// Group used at this time; empty for none.
  group::group_name used;
};

struct ownership_row
{
  const char* name;
  std::vector<step> steps;
  std::chrono::milliseconds releaseAt;
  /// Groups with pending work at the time of the release.
  std::vector<group::group_name> busy;
  std::vector<group::group_name> released;
};

std::vector<ownership_row>
OwnershipRows()
{
  return {
    { "an assigned group stays", { { 0ms, { "a" }, "" } }, 1h, {}, {} },
    { "an unassigned group stays for the grace period",
      { { 0ms, { "a" }, "" }, { 1000ms, {}, "" } },
      3999ms,
      {},
      {} },
    { "an unassigned group is released after it",
      { { 0ms, { "a" }, "" }, { 1000ms, {}, "" } },
      4000ms,
      {},
      { "a" } },
    { "pending work keeps it",
      { { 0ms, { "a" }, "" }, { 1000ms, {}, "" } },
      1h,
      { "a" },
      {} },
    { "a used group is kept for the grace period",
      { { 0ms, {}, "a" } },
      2999ms,
      {},
      {} },
    { "a used group is released after it without work",
      { { 0ms, {}, "a" } },
      3s,
      {},
      { "a" } },
    { "using it again extends the grace period",
      { { 0ms, {}, "a" }, { 2000ms, {}, "a" } },
      4999ms,
      {},
      {} },
    { "an assignment that alternates keeps it",
      { { 0ms, { "a" }, "" }, { 1000ms, {}, "" }, { 2000ms, { "a" }, "" } },
      1h,
      {},
      {} },
    { "only the group that moved is released",
      { { 0ms, { "a", "b" }, "" }, { 1000ms, { "b" }, "" } },
      10s,
      {},
      { "a" } },
  };
}

} // namespace

TEST_GROUP(ownership){};

TEST(ownership, release)
{
  for (const auto& row : OwnershipRows()) {
    pooler::ownership ownership(kGrace);
    for (const auto& step : row.steps) {
      const auto now = kStart + step.at;
      if (step.used.empty()) {
        ownership.Assign(step.assigned, now);
      } else {
        ownership.MarkUsed(step.used, now);
      }
    }
    const auto isBusy = [&](const group::group_name& aGroup) {
      return std::find(row.busy.begin(), row.busy.end(), aGroup) !=
             row.busy.end();
    };
    const auto released =
      ownership.ReleaseExpired(isBusy, kStart + row.releaseAt);
    CHECK_TEXT(released == row.released, row.name);
    for (const auto& group : released) {
      CHECK_FALSE_TEXT(ownership.Holds(group), row.name);
    }
    const auto again = ownership.ReleaseExpired(isBusy, kStart + row.releaseAt);
    CHECK_TEXT(again.empty(), row.name);
  }
}

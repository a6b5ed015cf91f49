#include "currantshed/node/snapshot_chunks.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using node::snapshot_assembler;
using node::snapshot_chunk;
using node::snapshot_splitter;

namespace {

const clock::time_point kStart{ 1h };
constexpr std::size_t kLongest = 10;

/// Keys whose copies tell which state they are of.
std::string
CopyOf(std::uint64_t aRevision, std::size_t aLength)
{
  return std::string(aLength, static_cast<char>('a' + aRevision % 26));
}

struct event
{
  enum class kind
  {
    /// The next part is asked for and comes.
    kPart,
    /// It is asked for and does not come.
    kLost,
    /// It comes from another VM.
    kStray,
    /// The keys have changed.
    kChange,
  };

  std::chrono::milliseconds at;
  kind what;
};

using kind = event::kind;

struct row
{
  const char* name;
  std::size_t length;
  std::vector<event> given;
  /// The revision of the copy that comes whole, if one does.
  std::optional<std::uint64_t> taken;
};

const row kRows[] = {
  { "one part", 10, { { 0ms, kind::kPart } }, 1 },
  { "three parts",
    25,
    { { 0ms, kind::kPart }, { 1ms, kind::kPart }, { 2ms, kind::kPart } },
    1 },
  { "not all of them", 25, { { 0ms, kind::kPart }, { 1ms, kind::kPart } }, {} },
  { "the keys change meanwhile",
    25,
    { { 0ms, kind::kPart },
      { 1ms, kind::kChange },
      { 2ms, kind::kPart },
      { 3ms, kind::kPart } },
    1 },
  { "the copy is given up meanwhile, and the newest one sent",
    25,
    { { 0ms, kind::kPart },
      { 350ms, kind::kChange },
      { 360ms, kind::kChange },
      { 370ms, kind::kPart },
      { 380ms, kind::kPart },
      { 390ms, kind::kPart } },
    1 },
  { "a part that is lost",
    25,
    { { 0ms, kind::kPart }, { 1ms, kind::kLost }, { 500ms, kind::kPart } },
    {} },
  { "another VM's part",
    25,
    { { 0ms, kind::kPart },
      { 1ms, kind::kStray },
      { 2ms, kind::kPart },
      { 3ms, kind::kPart } },
    1 },
  { "parts that take too long together",
    45,
    { { 0ms, kind::kPart },
      { 350ms, kind::kPart },
      { 700ms, kind::kPart },
      { 1050ms, kind::kPart },
      { 1250ms, kind::kPart } },
    {} },
};

std::optional<std::string>
Play(const row& aRow)
{
  snapshot_splitter cutter;
  snapshot_assembler collector;
  std::uint64_t revision = 1;
  CHECK(collector.Begin("feeder", kStart));
  CHECK_FALSE(collector.Begin("another", kStart));
  std::optional<std::string> whole;
  for (const auto& one : aRow.given) {
    const auto now = kStart + one.at;
    if (one.what == kind::kChange) {
      ++revision;
      continue;
    }
    const auto part =
      cutter.GetChunk(collector.Wanted(), kLongest, { 0, revision }, now, [&] {
        return CopyOf(revision, aRow.length);
      });
    CHECK(part.content.size() <= kLongest);
    if (one.what != kind::kLost) {
      const auto* from = one.what == kind::kStray ? "another" : "feeder";
      const auto made = collector.Take(from, part, now);
      whole = made ? made : whole;
    }
  }
  return whole;
}

} // namespace

TEST_GROUP(snapshot_chunks){};

TEST(snapshot_chunks, are_put_together)
{
  for (const auto& row : kRows) {
    const auto whole = Play(row);
    CHECK_TEXT(whole.has_value() == row.taken.has_value(), row.name);
    if (whole) {
      CHECK_TEXT(*whole == CopyOf(*row.taken, row.length), row.name);
    }
  }
}

// A configuration of 262 KB that each of a hundred VMs read from the store by
// itself took its link for seconds. One copy serves all that ask for it.
TEST(snapshot_chunks, one_snapshot_serves_all_that_ask)
{
  for (const std::size_t vms : { 50, 100, 200 }) {
    snapshot_splitter cutter;
    std::vector<snapshot_assembler> collectors(vms);
    std::size_t taken = 0;
    for (auto& one : collectors) {
      (void)one.Begin("feeder", kStart);
    }
    for (std::size_t part = 0; part < 3; ++part) {
      for (auto& one : collectors) {
        const auto sent =
          cutter.GetChunk(one.Wanted(), kLongest, { 0, 1 + part }, kStart, [] {
            return CopyOf(1, 25);
          });
        taken += one.Take("feeder", sent, kStart) ? 1 : 0;
      }
    }
    CHECK_EQUAL(vms, taken);
    CHECK_EQUAL(1, cutter.SnapshotsMade());
  }
}

TEST(snapshot_chunks, what_a_snapshot_lacks_is_in_the_next_one)
{
  snapshot_splitter cutter;
  const auto cut = [&](std::uint64_t aRevision, clock::time_point aAt) {
    return cutter
      .GetChunk({},
                kLongest,
                { 0, aRevision },
                aAt,
                [=] { return CopyOf(aRevision, 5); })
      .of.number;
  };
  CHECK_EQUAL(1, cut(1, kStart));
  CHECK_EQUAL(1, cut(2, kStart + 100ms));
  CHECK_EQUAL(2, cut(2, kStart + 300ms));
  CHECK_EQUAL(2, cut(2, kStart + 10s));
}

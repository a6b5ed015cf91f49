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
constexpr std::size_t kMaxBytes = 10;

/// Contents that identify the revision of the snapshot.
std::string
SnapshotOf(std::uint64_t aRevision, std::size_t aLength)
{
  return std::string(aLength, static_cast<char>('a' + aRevision % 26));
}

struct event
{
  enum class kind
  {
    /// The next chunk is requested and arrives.
    kChunk,
    /// The next chunk is requested and lost.
    kLost,
    /// A chunk arrives from another VM.
    kStray,
    /// The keys change.
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
  /// The revision of the snapshot that is completed, if any.
  std::optional<std::uint64_t> taken;
};

const row kRows[] = {
  { "one chunk", 10, { { 0ms, kind::kChunk } }, 1 },
  { "three chunks",
    25,
    { { 0ms, kind::kChunk }, { 1ms, kind::kChunk }, { 2ms, kind::kChunk } },
    1 },
  { "incomplete", 25, { { 0ms, kind::kChunk }, { 1ms, kind::kChunk } }, {} },
  { "the keys change during the transfer",
    25,
    { { 0ms, kind::kChunk },
      { 1ms, kind::kChange },
      { 2ms, kind::kChunk },
      { 3ms, kind::kChunk } },
    1 },
  { "the snapshot is dropped during the transfer, and the newest one sent",
    25,
    { { 0ms, kind::kChunk },
      { 350ms, kind::kChange },
      { 360ms, kind::kChange },
      { 370ms, kind::kChunk },
      { 380ms, kind::kChunk },
      { 390ms, kind::kChunk } },
    1 },
  { "a lost chunk",
    25,
    { { 0ms, kind::kChunk }, { 1ms, kind::kLost }, { 500ms, kind::kChunk } },
    {} },
  { "a chunk of another VM",
    25,
    { { 0ms, kind::kChunk },
      { 1ms, kind::kStray },
      { 2ms, kind::kChunk },
      { 3ms, kind::kChunk } },
    1 },
  { "the whole transfer takes too long",
    45,
    { { 0ms, kind::kChunk },
      { 350ms, kind::kChunk },
      { 700ms, kind::kChunk },
      { 1050ms, kind::kChunk },
      { 1250ms, kind::kChunk } },
    {} },
};

std::optional<std::string>
Run(const row& aRow)
{
  snapshot_splitter splitter;
  snapshot_assembler assembler;
  std::uint64_t revision = 1;
  CHECK(assembler.Begin("feeder", kStart));
  CHECK_FALSE(assembler.Begin("another", kStart));
  std::optional<std::string> snapshot;
  for (const auto& one : aRow.given) {
    const auto now = kStart + one.at;
    if (one.what == kind::kChange) {
      ++revision;
      continue;
    }
    const auto chunk = splitter.GetChunk(
      assembler.NextRequest(), kMaxBytes, { 0, revision }, now, [&] {
        return SnapshotOf(revision, aRow.length);
      });
    CHECK(chunk.data.size() <= kMaxBytes);
    if (one.what != kind::kLost) {
      const auto* from = one.what == kind::kStray ? "another" : "feeder";
      const auto made = assembler.AddChunk(from, chunk, now);
      snapshot = made ? made : snapshot;
    }
  }
  return snapshot;
}

} // namespace

TEST_GROUP(snapshot_chunks){};

TEST(snapshot_chunks, are_assembled)
{
  for (const auto& row : kRows) {
    const auto snapshot = Run(row);
    CHECK_TEXT(snapshot.has_value() == row.taken.has_value(), row.name);
    if (snapshot) {
      CHECK_TEXT(*snapshot == SnapshotOf(*row.taken, row.length), row.name);
    }
  }
}

// Guards against a high load on the store: when each of a hundred VMs read a
// configuration of 262 KB from the store, the store's link was saturated for
// seconds. One snapshot must serve all VMs that request it.
TEST(snapshot_chunks, one_snapshot_serves_all_that_ask)
{
  for (const std::size_t vms : { 50, 100, 200 }) {
    snapshot_splitter splitter;
    std::vector<snapshot_assembler> assemblers(vms);
    std::size_t taken = 0;
    for (auto& one : assemblers) {
      (void)one.Begin("feeder", kStart);
    }
    for (std::size_t chunk = 0; chunk < 3; ++chunk) {
      for (auto& one : assemblers) {
        const auto sent = splitter.GetChunk(
          one.NextRequest(), kMaxBytes, { 0, 1 + chunk }, kStart, [] {
            return SnapshotOf(1, 25);
          });
        taken += one.AddChunk("feeder", sent, kStart) ? 1 : 0;
      }
    }
    CHECK_EQUAL(vms, taken);
    CHECK_EQUAL(1, splitter.SnapshotsMade());
  }
}

TEST(snapshot_chunks, what_a_snapshot_lacks_is_in_the_next_one)
{
  snapshot_splitter splitter;
  const auto split = [&](std::uint64_t aRevision, clock::time_point aAt) {
    return splitter
      .GetChunk({},
                kMaxBytes,
                { 0, aRevision },
                aAt,
                [=] { return SnapshotOf(aRevision, 5); })
      .revision.number;
  };
  CHECK_EQUAL(1, split(1, kStart));
  CHECK_EQUAL(1, split(2, kStart + 100ms));
  CHECK_EQUAL(2, split(2, kStart + 300ms));
  CHECK_EQUAL(2, split(2, kStart + 10s));
}

// A forwarder that kept two snapshots began each transfer again with the third
// version, so that no transfer ended while versions came quickly.
TEST(snapshot_chunks, a_transfer_ends_although_versions_come_faster)
{
  snapshot_splitter splitter;
  snapshot_assembler assembler({ 800ms, 3200ms });
  snapshot_assembler other;
  std::uint64_t revision = 1;
  const auto request = [&](snapshot_assembler& aBy, clock::time_point aNow) {
    const auto chunk = splitter.GetChunk(
      aBy.NextRequest(), kMaxBytes, { 0, revision }, aNow, [&] {
        return SnapshotOf(revision, 45);
      });
    return aBy.AddChunk("feeder", chunk, aNow);
  };
  CHECK(assembler.Begin("feeder", kStart));
  std::optional<std::string> snapshot;
  for (int chunk = 0; chunk < 5; ++chunk) {
    const auto now = kStart + chunk * 300ms;
    CHECK(!snapshot);
    snapshot = request(assembler, now);
    // Another VM begins with each version.
    ++revision;
    other = snapshot_assembler();
    CHECK(other.Begin("feeder", now));
    (void)request(other, now + 290ms);
  }
  CHECK(snapshot && *snapshot == SnapshotOf(1, 45));
}

TEST(snapshot_chunks, the_next_transfer_leaves_the_link_to_callers_for_a_while)
{
  snapshot_assembler assembler;
  CHECK(assembler.Begin("feeder", kStart, 500ms));
  const auto taken =
    assembler.AddChunk("feeder", { { 0, 1 }, 0, 1, "x" }, kStart + 100ms);
  CHECK(taken.has_value());
  CHECK_FALSE(assembler.Begin("feeder", kStart + 590ms, 500ms));
  CHECK(assembler.Begin("feeder", kStart + 600ms, 500ms));
}

// Memory: what nobody requests any longer is not kept.
TEST(snapshot_chunks, unused_snapshots_are_dropped)
{
  snapshot_splitter splitter;
  const auto split = [&](const snapshot_chunk& aRequested,
                         std::uint64_t aRevision,
                         clock::time_point aAt) {
    return splitter.GetChunk(aRequested, kMaxBytes, { 0, aRevision }, aAt, [=] {
      return SnapshotOf(aRevision, 25);
    });
  };
  const auto first = split({}, 1, kStart);
  CHECK_EQUAL(2, split({}, 2, kStart + 1100ms).revision.number);
  const auto next = split({ first.revision, kMaxBytes, 0, {} }, 2, kStart + 1s);
  CHECK_EQUAL(2, next.revision.number);
}

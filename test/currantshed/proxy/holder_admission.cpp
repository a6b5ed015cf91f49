#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "test/currantshed/proxy/load_simulation.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using test::load_shape;
using test::load_simulation;

namespace {

constexpr std::uint32_t kSeeds[] = { 7, 8 };
constexpr auto kBefore = 3000ms;
constexpr auto kDuring = 6000ms;
constexpr auto kAfter = 1500ms;

/// What a stream must get while the load is changed.
struct stream_expectation
{
  double factor = 1;
  /// Minimum fraction answered in time.
  double inTime = 0;
  /// Minimum fraction of its rejections within a quarter of its target.
  double prompt = 0;
};

struct holder_row
{
  const char* name;
  load_shape shape;
  std::vector<stream_expectation> expected;
};

// Three servers of three slots, reached through three connection holders by 40
// VMs. A server has few more connections than slots: the requests wait at the
// holders.
load_shape
Shape(std::vector<test::load_stream> aStreams,
      std::size_t aVmsWithAttributes = 40)
{
  load_shape made{ .vms = 40, .maxConnections = 6, .writes = 5, .reads = 5 };
  made.streams = std::move(aStreams);
  made.vmsWithAttributes = aVmsWithAttributes;
  return made;
}

// The same with servers that report their slots, so that the concurrency limit
// acts: what waits inside a server is in order of arrival.
load_shape
ShapeWithSlots(std::vector<test::load_stream> aStreams)
{
  auto made = Shape(std::move(aStreams));
  made.reportsSlots = true;
  return made;
}

const holder_row kHotCustomerRows[] = {
  { "a customer at eight times its usual",
    Shape({ { "hot", 60 }, { "a", 60 }, { "b", 60 } }),
    { { 8, 0.4 }, { 1, 0.95 }, { 1, 0.95 } } },
};

const holder_row kOlderBuildRows[] = {
  { "half of the VMs of an older build",
    Shape({ { "a", 300, 200ms, 11000us, 0 }, { "b", 72, 1500ms, 55000us, 2 } },
          20),
    { { 1, 0.98 }, { 1, 0.98 } } },
};

const holder_row kClassRows[] = {
  { "two classes at 1.7 times the room: the strictest is served",
    ShapeWithSlots(
      { { "a", 300, 200ms, 11000us, 0 }, { "b", 72, 1500ms, 55000us, 2 } }),
    { { 1.7, 0.95 }, { 2.5, 0.2, 0.9 } } },
  { "the same, and a customer of the strictest class at eight times its usual",
    ShapeWithSlots({ { "a", 200, 200ms, 11000us, 0 },
                     { "hot", 60, 200ms, 11000us, 0 },
                     { "b", 72, 1500ms, 55000us, 2 } }),
    { { 1.7, 0.95 }, { 8, 0.4 }, { 2.5, 0 } } },
};

void
CheckRows(std::span<const holder_row> aRows)
{
  for (const auto& row : aRows) {
    for (const auto seed : kSeeds) {
      load_simulation simulation(row.shape, seed);
      simulation.Run(kBefore);
      for (std::size_t i = 0; i < row.expected.size(); ++i) {
        simulation.streamFactors[i] = row.expected[i].factor;
      }
      simulation.Run(kDuring + kAfter);
      const auto from = static_cast<std::size_t>(kBefore / 1s);
      const auto to = static_cast<std::size_t>((kBefore + kDuring) / 1s);
      std::string text = row.name;
      bool isAsExpected = true;
      for (std::size_t i = 0; i < row.expected.size(); ++i) {
        const auto& expected = row.expected[i];
        const auto result = simulation.BetweenOf(i, from + 1, to);
        const double inTime = 1.0 * result.inTime / result.requests;
        const double prompt = result.refusals == 0
                                ? 1.0
                                : 1.0 * result.promptRefusals / result.refusals;
        text += "; " + std::to_string(inTime) + " in time, " +
                std::to_string(prompt) + " prompt";
        isAsExpected = isAsExpected && inTime >= expected.inTime &&
                       prompt >= expected.prompt;
      }
      CHECK_TEXT(isAsExpected, text.c_str());
    }
  }
}

} // namespace

TEST_GROUP(holder_admission){};

// VMs that send no attributes are served beside those that do.
TEST(holder_admission, serves_older_builds)
{
  CheckRows(kOlderBuildRows);
}

// A group of its own, so that a known failure hides no other test.
TEST_GROUP(holder_admission_overload){};

// Relayed requests of several customers meet at the holders of few servers.
// Without shares, all were rejected alike.
TEST(holder_admission, serves_customers_below_their_share)
{
  CheckRows(kHotCustomerRows);
}

// The strictest class was rejected most: its target leaves the least time.
TEST(holder_admission_overload, serves_the_strictest_class)
{
  CheckRows(kClassRows);
}

// A holder is killed while its queues are full. What waited there goes to other
// holders: reads are not lost with it, and what is told as not run has not run.
TEST(holder_admission, a_holder_is_killed_with_a_full_queue)
{
  constexpr double kMaxLost = 0.03;
  constexpr double kRecovered = 0.9;
  constexpr double kOverload = 3;
  for (const auto seed : kSeeds) {
    load_simulation simulation(
      ShapeWithSlots(
        { { "a", 200, 200ms, 11000us, 0 }, { "b", 40, 1500ms, 55000us, 2 } }),
      seed);
    simulation.Run(kBefore);
    simulation.streamFactors[1] = kOverload;
    simulation.Run(1s);
    simulation.Kill(simulation.BusiestHolder());
    simulation.Run(2s);
    simulation.streamFactors[1] = 1;
    simulation.Run(kDuring);
    const auto atLoss = simulation.BetweenOf(0, 4, 6);
    const double lost = 1.0 * atLoss.lost / atLoss.requests;
    CHECK_TEXT(lost <= kMaxLost, std::to_string(lost).c_str());
    const auto after = simulation.BetweenOf(0, 8, 11);
    const double recovered = 1.0 * after.inTime / after.requests;
    CHECK_TEXT(recovered >= kRecovered, std::to_string(recovered).c_str());
  }
}

#include "currantshed/confirm/position_samples.hpp"

#include <chrono>
#include <optional>

#include <CppUTest/TestHarness.h>

using currantshed::clock::time_point;
using currantshed::confirm::position_samples;
using currantshed::position::log_position;
using namespace std::chrono_literals;

namespace {

constexpr time_point kStart{ 1h };

position_samples
Samples()
{
  position_samples samples;
  samples.Add({ 1, 10 }, kStart);
  samples.Add({ 1, 20 }, kStart + 10ms);
  samples.Add({ 1, 20 }, kStart + 20ms);
  samples.Add({ 2, 5 }, kStart + 30ms);
  // Older dates and lower positions are ignored.
  samples.Add({ 2, 9 }, kStart + 25ms);
  samples.Add({ 1, 90 }, kStart + 40ms);
  return samples;
}

struct age_row
{
  const char* name;
  log_position position;
  std::optional<std::chrono::milliseconds> asOf;
  std::optional<std::chrono::milliseconds> writtenBy;
};

constexpr age_row kAgeRows[] = {
  { "before all samples", { 1, 9 }, std::nullopt, 0ms },
  { "at the first", { 1, 10 }, 0ms, 0ms },
  { "between", { 1, 15 }, 0ms, 10ms },
  { "at one sampled twice: written by the first date, current as of the later "
    "one",
    { 1, 20 },
    20ms,
    10ms },
  { "beyond it in its term", { 1, 99 }, 20ms, 30ms },
  { "at the newest", { 2, 5 }, 30ms, 30ms },
  { "beyond all", { 2, 6 }, 30ms, std::nullopt },
};

} // namespace

TEST_GROUP(position_samples){};

TEST(position_samples, ages)
{
  const auto samples = Samples();
  for (const auto& row : kAgeRows) {
    const auto asOf = samples.CurrentAsOf(row.position);
    CHECK_TEXT(asOf.has_value() == row.asOf.has_value(), row.name);
    CHECK_TEXT(!asOf || *asOf == kStart + *row.asOf, row.name);
    const auto written = samples.WrittenBy(row.position);
    CHECK_TEXT(written.has_value() == row.writtenBy.has_value(), row.name);
    CHECK_TEXT(!written || *written == kStart + *row.writtenBy, row.name);
  }
}

TEST(position_samples, lowest_position_since_a_date)
{
  const auto samples = Samples();
  CHECK(samples.LowestSince(kStart) == log_position({ 1, 10 }));
  CHECK(samples.LowestSince(kStart + 1ms) == log_position({ 1, 20 }));
  CHECK(samples.LowestSince(kStart + 30ms) == log_position({ 2, 5 }));
  CHECK_FALSE(samples.LowestSince(kStart + 31ms).has_value());
}

TEST(position_samples, thinned_out_samples_never_look_newer)
{
  position_samples samples;
  constexpr std::uint64_t kCount = 20000;
  for (std::uint64_t i = 1; i <= kCount; ++i) {
    samples.Add({ 1, i }, kStart + std::chrono::milliseconds(i));
  }
  for (std::uint64_t i = 1; i <= kCount; ++i) {
    const auto asOf = samples.CurrentAsOf({ 1, i });
    CHECK(!asOf || *asOf <= kStart + std::chrono::milliseconds(i));
  }
  const auto newest = samples.CurrentAsOf({ 1, kCount });
  CHECK(newest == kStart + std::chrono::milliseconds(kCount));
}

#include <chrono>
#include <cstddef>
#include <string>

#include "test/currantshed/store/slow_view.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

struct bound_row
{
  std::size_t bytes;
  std::chrono::milliseconds bound;
};

constexpr bound_row kBounds[] = {
  { 1'040'000, 5000ms }, { 1'040'000, 3000ms }, { 800'000, 3000ms },
  { 420'000, 3000ms },   { 262'144, 2000ms },
};

} // namespace

TEST_GROUP(pause_within_bound){};

// A change that came right after the start of a transfer waited for its end,
// for the pause after it and for its own transfer, longer than the bound.
TEST(pause_within_bound, a_change_is_in_force_in_time_whenever_it_comes)
{
  for (const auto& row : kBounds) {
    for (auto offset = 0ms; offset < 3000ms; offset += 50ms) {
      test::slow_view made(row.bound);
      made.store.Put(std::string(row.bytes, 'x'));
      made.Run(5s);
      made.store.Put(std::string(row.bytes, 'y'));
      made.Run(offset);
      made.store.Put(std::string(row.bytes, 'z'));
      made.Run(row.bound);
      const auto name = std::to_string(row.bytes) + " bytes, " +
                        std::to_string(offset.count()) + " ms later";
      CHECK_TEXT(made.view.Seen() == made.store.Newest(), name.c_str());
    }
  }
}

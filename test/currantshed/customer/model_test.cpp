#include <cstdint>
#include <string>

#include "test/currantshed/customer/model.hpp"
#include "test/currantshed/support/model_seeds.hpp"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using currantshed::test::customers_model;
using currantshed::test::customers_model_bug;

namespace {

constexpr std::uint32_t kSeeds = 40;
// Some bugs show only if rare faults coincide.
constexpr std::uint32_t kBugSeeds = 600;
constexpr auto kSpan = 60s;

std::uint32_t
Seeds()
{
  return currantshed::test::ModelSeeds(kSeeds);
}

struct bug_row
{
  const char* name;
  customers_model_bug what;
};

constexpr bug_row kBugRows[] = {
  { "a verification dated by its response",
    customers_model_bug::kVerificationDatedByResponse },
  { "a verification passed on without its age",
    customers_model_bug::kForwardedVerificationNotAged },
  { "keys checked only when a request is read",
    customers_model_bug::kKeyCheckedOnlyAtRead },
  { "buckets without a capacity", customers_model_bug::kUnboundedBuckets },
  { "buckets that start full", customers_model_bug::kBucketsStartFull },
  { "shares that count twice", customers_model_bug::kSharesCountTwice },
};

} // namespace

TEST_GROUP(customers_model){};

TEST(customers_model, Revoked_keys_expire_in_time_and_quotas_hold)
{
  std::uint64_t ran = 0;
  std::uint64_t steps = 0;
  for (std::uint32_t seed = 1; seed <= Seeds(); ++seed) {
    customers_model model(seed, customers_model_bug::kNone);
    model.Run(kSpan);
    const auto what =
      model.violations.empty() ? std::string() : model.violations.front();
    CHECK_TEXT(model.violations.empty(),
               (what + ", seed " + std::to_string(seed)).c_str());
    ran += model.ran;
    steps += model.steps;
  }
  // The invariants must not hold by refusing everything.
  CHECK(ran > Seeds() * 400ULL);
  CHECK(steps > Seeds() * 60000ULL);
}

TEST(customers_model, Each_mistake_is_found)
{
  for (const auto& row : kBugRows) {
    bool found = false;
    for (std::uint32_t seed = 1; seed <= kBugSeeds && !found; ++seed) {
      customers_model model(seed, row.what);
      model.Run(kSpan);
      found = !model.violations.empty();
    }
    CHECK_TEXT(found, row.name);
  }
}

#include <cstdint>
#include <string>

#include "test/currantshed/customer/model.hpp"
#include "test/currantshed/support/model_seeds.hpp"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using currantshed::test::customers_model;
using currantshed::test::customers_model_bug;
using currantshed::test::customers_model_faults;

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
  customers_model_faults faults = customers_model_faults::kAll;
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
  { "tokens checked only on arrival",
    customers_model_bug::kTokenCheckedOnArrival,
    customers_model_faults::kUnderLoad },
  { "operations sent again with used tokens",
    customers_model_bug::kRunAgainWithUsedToken,
    customers_model_faults::kUnderLoad },
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

// Requests are held up while the primary is being replaced, and are sent again
// when answers are lost. Neither may add to what a window holds.
TEST(customers_model, Quotas_hold_where_requests_wait_or_are_sent_again)
{
  std::uint64_t ran = 0;
  for (std::uint32_t seed = 1; seed <= Seeds(); ++seed) {
    customers_model model(
      seed, customers_model_bug::kNone, customers_model_faults::kUnderLoad);
    model.Run(kSpan);
    const auto what =
      model.violations.empty() ? std::string() : model.violations.front();
    CHECK_TEXT(model.violations.empty(),
               (what + ", seed " + std::to_string(seed)).c_str());
    ran += model.ran;
  }
  CHECK(ran > Seeds() * 4000ULL);
}

// A customer that asks for half of its rate gets it, also right after its
// primary was replaced and all that waited needs new tokens.
// A group of its own, so that a known failure hides no other test.
TEST_GROUP(customers_refusals){};

TEST(customers_refusals, Customers_within_their_quota_are_hardly_refused)
{
  for (std::uint32_t seed = 1; seed <= Seeds(); ++seed) {
    customers_model model(
      seed, customers_model_bug::kNone, customers_model_faults::kPrimaryPauses);
    model.Run(kSpan);
    const auto name = "seed " + std::to_string(seed) + ", refused " +
                      std::to_string(model.refusedForTokens) + " beside " +
                      std::to_string(model.ran);
    CHECK_TEXT(model.violations.empty(), name.c_str());
    CHECK_TEXT(model.refusedForTokens * 10 <= model.ran, name.c_str());
    CHECK_TEXT(model.longestRefusal <= 1500ms, name.c_str());
  }
}

TEST(customers_model, Each_mistake_is_found)
{
  for (const auto& row : kBugRows) {
    bool found = false;
    for (std::uint32_t seed = 1; seed <= kBugSeeds && !found; ++seed) {
      customers_model model(seed, row.what, row.faults);
      model.Run(kSpan);
      found = !model.violations.empty();
    }
    CHECK_TEXT(found, row.name);
  }
}

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
// Some mistakes need rare troubles to meet.
constexpr std::uint32_t kMistakeSeeds = 600;
constexpr auto kSpan = 60s;

std::uint32_t
Seeds()
{
  return currantshed::test::ModelSeeds(kSeeds);
}

struct mistake_row
{
  const char* name;
  customers_model_bug what;
};

constexpr mistake_row kMistakes[] = {
  { "a proof dated by its answer", customers_model_bug::kProofDatedByAnswer },
  { "a proof passed on without its age", customers_model_bug::kProofNotAged },
  { "keys looked at when a request is read",
    customers_model_bug::kCheckedAtReading },
  { "a bank without bound", customers_model_bug::kBankWithoutBound },
  { "a bank that starts full", customers_model_bug::kBankStartsFull },
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
    const auto what = model.wrong.empty() ? std::string() : model.wrong.front();
    CHECK_TEXT(model.wrong.empty(),
               (what + ", seed " + std::to_string(seed)).c_str());
    ran += model.ran;
    steps += model.steps;
  }
  // Not by refusing everything.
  CHECK(ran > Seeds() * 400ULL);
  CHECK(steps > Seeds() * 60000ULL);
}

TEST(customers_model, Each_mistake_is_found)
{
  for (const auto& row : kMistakes) {
    bool found = false;
    for (std::uint32_t seed = 1; seed <= kMistakeSeeds && !found; ++seed) {
      customers_model model(seed, row.what);
      model.Run(kSpan);
      found = !model.wrong.empty();
    }
    CHECK_TEXT(found, row.name);
  }
}

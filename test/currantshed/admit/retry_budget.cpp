#include "currantshed/admit/retry_budget.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::admit::retry_budget;

TEST_GROUP(retry_budget){};

TEST(retry_budget, retries_are_a_tenth_of_first_tries)
{
  retry_budget budget;
  int stored = 0;
  while (budget.TryWithdraw()) {
    ++stored;
  }
  LONGS_EQUAL(50, stored);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.Deposit();
    retries += budget.TryWithdraw() ? 1 : 0;
  }
  CHECK(retries >= 95);
  CHECK(retries <= 100);
}

#include "standin/upstream/permits.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed::standin::postgres;

namespace {

struct counting_waiter final : public permit_waiter
{
  void Granted() override { ++granted; }

  int granted = 0;
};

} // namespace

TEST_GROUP(permits){};

TEST(permits, handed_on_in_order)
{
  permits slots(1);
  counting_waiter first;
  counting_waiter second;
  counting_waiter third;
  CHECK_TRUE(slots.Take(first));
  CHECK_FALSE(slots.Take(second));
  CHECK_FALSE(slots.Take(third));
  slots.Forget(second);
  slots.Release();
  CHECK_EQUAL(0, first.granted);
  CHECK_EQUAL(0, second.granted);
  CHECK_EQUAL(1, third.granted);
  CHECK_EQUAL(1U, slots.InUse());
  slots.Release();
  CHECK_EQUAL(0U, slots.InUse());
  CHECK_EQUAL(1U, slots.Peak());
}

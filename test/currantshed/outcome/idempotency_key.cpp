#include "currantshed/outcome/idempotency_key.hpp"

#include <chrono>

#include <CppUTest/TestHarness.h>

using currantshed::clock::wall_time;
using currantshed::outcome::idempotency_key;
using namespace std::chrono_literals;

namespace {

struct text_row
{
  const char* name;
  const char* text;
  bool isKey;
};

// The first row is the example of RFC 9562, appendix A.6.
constexpr text_row kTextRows[] = {
  { "the standard's example", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", true },
  { "upper case", "017F22E2-79B0-7CC3-98C4-DC0C0C07398F", true },
  { "version 4", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", false },
  { "another variant", "017f22e2-79b0-7cc3-d8c4-dc0c0c07398f", false },
  { "empty", "", false },
  { "without dashes", "017f22e279b07cc398c4dc0c0c07398f", false },
  { "a dash too early", "017f22e-279b0-7cc3-98c4-dc0c0c07398f", false },
  { "a wrong digit", "017f22e2-79b0-7cc3-98c4-dc0c0c07398g", false },
  { "too long", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f0", false },
};

} // namespace

TEST_GROUP(idempotency_key){};

TEST(idempotency_key, parse)
{
  for (const auto& row : kTextRows) {
    const auto key = idempotency_key::Parse(row.text);
    CHECK_TEXT(key.has_value() == row.isKey, row.name);
    if (key) {
      CHECK_TEXT(key->Text() == kTextRows[0].text, row.name);
      CHECK_TEXT(key->IssuedAt() == wall_time{ 1645557742000ms }, row.name);
    }
  }
}

TEST(idempotency_key, make)
{
  const auto key = idempotency_key::Make(
    wall_time{ 1645557742000ms }, 0xcc3, 0x18c4dc0c0c07398f);
  CHECK(key.Text() == kTextRows[0].text);
  const auto all = idempotency_key::Make(wall_time{ 1ms }, ~0ULL, ~0ULL);
  CHECK(all.Text() == "00000000-0001-7fff-bfff-ffffffffffff");
  CHECK_FALSE(all.empty());
  CHECK(idempotency_key{}.empty());
}

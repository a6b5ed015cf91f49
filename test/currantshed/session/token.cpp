#include "currantshed/session/token.hpp"

#include <cstdint>
#include <string>
#include <system_error>

#include <absl/strings/escaping.h>

#include "currantshed/session/error.hpp"
#include "currantshed/session/key_ring.hpp"
#include "currantshed/session/position_vector.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed::session;
using currantshed::position::log_position;

namespace {

constexpr const char* kOld = "old:000102030405060708090a0b0c0d0e0f";
constexpr const char* kBoth =
  "new:101112131415161718191a1b1c1d1e1f,old:000102030405060708090a0b0c0d0e0f";
constexpr const char* kTurned =
  "old:000102030405060708090a0b0c0d0e0f,new:101112131415161718191a1b1c1d1e1f";
constexpr const char* kNew = "new:101112131415161718191a1b1c1d1e1f";
constexpr const char* kImpostor = "old:f00102030405060708090a0b0c0d0e0f";

key_ring
Ring(const char* aText)
{
  key_ring ring;
  CHECK_TEXT(!ring.Parse(aText), aText);
  return ring;
}

position_vector
SampleVector()
{
  position_vector seen;
  seen.AdvanceTo("claims-north", { 3, 900 });
  seen.AdvanceTo("claims-south", { 1, 70000000000 });
  return seen;
}

struct ring_row
{
  const char* name;
  const char* text;
  bool good;
};

constexpr ring_row kRingRows[] = {
  { "one key", kOld, true },
  { "two keys", kBoth, true },
  { "empty", "", false },
  { "no id", ":000102030405060708090a0b0c0d0e0f", false },
  { "no secret", "a", false },
  { "short secret", "a:0001", false },
  { "odd digits", "a:000102030405060708090a0b0c0d0e0f1", false },
  { "not hexadecimal", "a:zz0102030405060708090a0b0c0d0e0f", false },
  { "empty first key", ",a:000102030405060708090a0b0c0d0e0f", false },
  { "empty key between",
    "a:000102030405060708090a0b0c0d0e0f,,b:000102030405060708090a0b0c0d0e0f",
    false },
  { "id twice",
    "a:000102030405060708090a0b0c0d0e0f,a:101112131415161718191a1b1c1d1e1f",
    false },
};

struct exchange_row
{
  const char* name;
  const char* sealer;
  const char* opener;
  std::error_code expect;
};

const exchange_row kExchangeRows[] = {
  { "same ring", kOld, kOld, {} },
  { "old key after the new one came first", kOld, kBoth, {} },
  { "new key while the old one still seals", kNew, kTurned, {} },
  { "key was dropped", kOld, kNew, session_error::kUntrusted },
  { "same id, other secret", kImpostor, kOld, session_error::kBadSignature },
};

struct text_row
{
  const char* name;
  const char* text;
  session_error expect;
};

constexpr text_row kTextRows[] = {
  { "empty", "", session_error::kMalformed },
  { "not base64url", "!!!", session_error::kMalformed },
  { "too short", "AQEDb2xk", session_error::kMalformed },
  { "later version",
    "AgEDb2xkAAAAAAAAAAAAAAAAAAAAAAAAAAAA",
    session_error::kUnknownVersion },
  { "id longer than the text",
    "AQH_b2xkAAAAAAAAAAAAAAAAAAAAAAAAAAAA",
    session_error::kMalformed },
};

struct raise_row
{
  const char* name;
  log_position first;
  log_position second;
  log_position expect;
};

constexpr raise_row kRaiseRows[] = {
  { "rises within a term", { 1, 5 }, { 1, 6 }, { 1, 6 } },
  { "is never lowered", { 1, 6 }, { 1, 5 }, { 1, 6 } },
  { "a later term wins", { 1, 900 }, { 2, 4 }, { 2, 4 } },
  { "an earlier term changes nothing", { 2, 4 }, { 1, 900 }, { 2, 4 } },
  { "nothing seen changes nothing", { 2, 4 }, { 0, 0 }, { 2, 4 } },
};

std::string
GroupName(unsigned aNumber)
{
  return "group-" + std::to_string(aNumber);
}

} // namespace

TEST_GROUP(session_token){};

TEST(session_token, key_ring)
{
  for (const auto& row : kRingRows) {
    key_ring ring;
    CHECK_EQUAL_TEXT(row.good, !ring.Parse(row.text), row.name);
    CHECK_EQUAL_TEXT(row.good, !ring.empty(), row.name);
  }
}

TEST(session_token, exchange)
{
  for (const auto& row : kExchangeRows) {
    const auto seen = SampleVector();
    const auto token = MakeToken(seen, Ring(row.sealer));
    position_vector read;
    const auto error = ReadToken(token, Ring(row.opener), read);
    CHECK_TEXT(row.expect == error, row.name);
    CHECK_EQUAL_TEXT(!row.expect, read == seen, row.name);
  }
}

TEST(session_token, texts)
{
  for (const auto& row : kTextRows) {
    position_vector read = SampleVector();
    const std::error_code error = ReadToken(row.text, Ring(kOld), read);
    CHECK_TEXT(make_error_code(row.expect) == error, row.name);
    CHECK_TEXT(read == SampleVector(), row.name);
  }
}

TEST(session_token, new_session_has_seen_nothing)
{
  position_vector read = SampleVector();
  CHECK(!ReadToken(kNewSession, Ring(kOld), read));
  CHECK(read == position_vector{});
  CHECK_FALSE(read.Floor("claims-north").fresh);
}

TEST(session_token, every_changed_byte_is_found)
{
  const auto ring = Ring(kOld);
  const auto token = MakeToken(SampleVector(), ring);
  std::string bytes;
  CHECK(absl::WebSafeBase64Unescape(token, &bytes));
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    for (unsigned bit = 0; bit < 8; ++bit) {
      std::string changed = bytes;
      changed[at] = static_cast<char>(changed[at] ^ (1U << bit));
      position_vector read;
      const auto text = absl::WebSafeBase64Escape(changed);
      CHECK_TEXT(ReadToken(text, ring, read), std::to_string(at).c_str());
    }
  }
}

TEST(session_token, every_changed_character_is_found)
{
  const auto ring = Ring(kOld);
  const auto token = MakeToken(SampleVector(), ring);
  for (std::size_t at = 0; at < token.size(); ++at) {
    for (const char other : { 'A', 'B', 'Q', 'z', '_', '=', ' ' }) {
      std::string changed = token;
      changed[at] = other;
      position_vector read;
      CHECK_EQUAL_TEXT(changed != token,
                       static_cast<bool>(ReadToken(changed, ring, read)),
                       changed.c_str());
    }
    position_vector read;
    CHECK_TEXT(ReadToken(token.substr(0, at), ring, read), "cut off");
  }
}

TEST(session_token, other_purpose_is_foreign)
{
  const auto ring = Ring(kOld);
  const auto text = ring.Sign(token_purpose::kTransaction, "content");
  std::string content;
  CHECK(ring.Verify(token_purpose::kSession, text, content) ==
        make_error_code(session_error::kUntrusted));
  CHECK(!ring.Verify(token_purpose::kTransaction, text, content));
  STRCMP_EQUAL("content", content.c_str());
}

TEST(session_token, raise)
{
  for (const auto& row : kRaiseRows) {
    position_vector seen;
    seen.AdvanceTo("claims", row.first);
    seen.AdvanceTo("claims", row.second);
    CHECK_TEXT(row.expect == seen.Floor("claims").position, row.name);
    position_vector left;
    left.AdvanceTo("claims", row.first);
    position_vector right;
    right.AdvanceTo("claims", row.second);
    left.Merge(right);
    CHECK_TEXT(row.expect == left.Floor("claims").position, row.name);
  }
}

TEST(session_token, overflow_makes_every_other_group_fresh)
{
  position_vector seen;
  for (unsigned at = 0; at < position_vector::kMaxGroups; ++at) {
    seen.AdvanceTo(GroupName(at), { 1, at + 1 });
  }
  CHECK_FALSE(seen.Overflowed());
  CHECK_FALSE(seen.Floor("never seen").fresh);
  seen.AdvanceTo("one too many", { 1, 1 });
  CHECK(seen.Overflowed());
  CHECK(seen.Floor("one too many").fresh);
  CHECK(seen.Floor("never seen").fresh);
  CHECK_FALSE(seen.Floor(GroupName(7)).fresh);
  seen.AdvanceTo(GroupName(7), { 2, 1 });
  CHECK(seen.Floor(GroupName(7)).position == (log_position{ 2, 1 }));
  const auto token = MakeToken(seen, Ring(kOld));
  position_vector read;
  CHECK(!ReadToken(token, Ring(kOld), read));
  CHECK(read == seen);
}

TEST(session_token, merge_keeps_the_overflow)
{
  position_vector full;
  for (unsigned at = 0; at <= position_vector::kMaxGroups; ++at) {
    full.AdvanceTo(GroupName(at), { 1, 1 });
  }
  position_vector seen;
  seen.Merge(full);
  CHECK(seen.Overflowed());
  CHECK(seen.Floor("never seen").fresh);
  CHECK(seen.size() <= position_vector::kMaxGroups);
}

TEST(session_token, more_seen_than_noted_is_read_fresh_until_noted)
{
  position_vector seen;
  seen.MarkIncomplete();
  CHECK(seen.Floor("claims").fresh);
  seen.AdvanceTo("claims", { 2, 7 });
  CHECK_FALSE(seen.Floor("claims").fresh);
  CHECK(seen.Floor("other").fresh);
}

TEST(session_token, merge_drops_what_one_side_may_have_seen_higher)
{
  position_vector low;
  low.AdvanceTo("claims", { 1, 1 });
  position_vector unsure;
  unsure.MarkIncomplete();
  position_vector left = low;
  left.Merge(unsure);
  CHECK(left.Floor("claims").fresh);
  position_vector right = unsure;
  right.Merge(low);
  CHECK(right.Floor("claims").fresh);
}

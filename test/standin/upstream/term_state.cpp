#include "standin/upstream/term_state.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed::standin::postgres;

namespace {

enum class question
{
  kFence,
  kPromote,
  kFollow,
};

struct rule_row
{
  const char* name;
  term_id term;
  server_role role;
  question asked;
  term_id askedTerm;
  term_verdict verdict;
  term_id newTerm;
  server_role newRole;
};

constexpr auto kReplica = server_role::kReplica;
constexpr auto kPrimary = server_role::kPrimary;
constexpr auto kFenced = server_role::kFenced;
constexpr auto kChanged = term_verdict::kChanged;
constexpr auto kSame = term_verdict::kSame;
constexpr auto kRefused = term_verdict::kRefused;

constexpr rule_row kRules[] = {
  { "fence a replica", 3, kReplica, question::kFence, 4, kChanged, 4, kFenced },
  { "fence a primary", 3, kPrimary, question::kFence, 5, kChanged, 5, kFenced },
  { "fence again", 4, kFenced, question::kFence, 4, kSame, 4, kFenced },
  { "fence again, higher",
    4,
    kFenced,
    question::kFence,
    6,
    kChanged,
    6,
    kFenced },
  { "fence at a primary's own term",
    4,
    kPrimary,
    question::kFence,
    4,
    kRefused,
    4,
    kPrimary },
  { "fence at a replica's own term",
    4,
    kReplica,
    question::kFence,
    4,
    kRefused,
    4,
    kReplica },
  { "fence lower", 4, kFenced, question::kFence, 3, kRefused, 4, kFenced },
  { "promote at the fence's term",
    4,
    kFenced,
    question::kPromote,
    4,
    kChanged,
    4,
    kPrimary },
  { "promote again", 4, kPrimary, question::kPromote, 4, kSame, 4, kPrimary },
  { "promote below the fence",
    4,
    kFenced,
    question::kPromote,
    3,
    kRefused,
    4,
    kFenced },
  { "promote above the fence",
    4,
    kFenced,
    question::kPromote,
    5,
    kRefused,
    4,
    kFenced },
  { "promote a replica",
    4,
    kReplica,
    question::kPromote,
    4,
    kRefused,
    4,
    kReplica },
  { "promote before any term",
    0,
    kFenced,
    question::kPromote,
    0,
    kRefused,
    0,
    kFenced },
  { "follow after a fence",
    4,
    kFenced,
    question::kFollow,
    4,
    kChanged,
    4,
    kReplica },
  { "follow a new primary",
    3,
    kReplica,
    question::kFollow,
    4,
    kChanged,
    4,
    kReplica },
  { "follow the same primary",
    4,
    kReplica,
    question::kFollow,
    4,
    kSame,
    4,
    kReplica },
  { "an old primary follows",
    3,
    kPrimary,
    question::kFollow,
    4,
    kChanged,
    4,
    kReplica },
  { "the term's primary follows nobody",
    4,
    kPrimary,
    question::kFollow,
    4,
    kRefused,
    4,
    kPrimary },
  { "follow an old term",
    4,
    kFenced,
    question::kFollow,
    3,
    kRefused,
    4,
    kFenced },
};

const primary_address kSomeone{ "127.0.0.2", 5432 };

term_verdict
Ask(term_state& aState, const rule_row& aRow)
{
  switch (aRow.asked) {
    case question::kFence:
      return aState.Fence(aRow.askedTerm);
    case question::kPromote:
      return aState.Promote(aRow.askedTerm);
    default:
      return aState.Follow(aRow.askedTerm, kSomeone);
  }
}

} // namespace

TEST_GROUP(term_state){};

TEST(term_state, rules)
{
  for (const auto& row : kRules) {
    term_state state(row.term, row.role, kSomeone);
    CHECK_TEXT(Ask(state, row) == row.verdict, row.name);
    CHECK_EQUAL_TEXT(row.newTerm, state.Term(), row.name);
    CHECK_TEXT(state.Role() == row.newRole, row.name);
  }
}

TEST(term_state, records_come_from_the_primary_of_the_own_term_only)
{
  const term_state replica(4, kReplica, kSomeone);
  CHECK_TRUE(replica.TakesRecordsOf(4));
  CHECK_FALSE(replica.TakesRecordsOf(3));
  CHECK_FALSE(replica.TakesRecordsOf(5));
  CHECK_FALSE(term_state(4, kFenced, {}).TakesRecordsOf(4));
  CHECK_FALSE(term_state(4, kPrimary, {}).TakesRecordsOf(4));
}

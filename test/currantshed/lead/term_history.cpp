// Logs must be compared by where replaced terms ended, not by their length.
#include "currantshed/lead/term_history.hpp"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using lead::lineage;
using lead::term_history;

namespace {

struct lineage_row
{
  const char* name;
  term_history history;
  position::log_position last;
  position::term_id followed;
  lineage expect;
};

const term_history kOneTerm{ 1, "b", { { 1, 184 } } };
// The third term began with a shorter log than the second.
const term_history kShorter{ 2, "c", { { 1, 184 }, { 2, 180 } } };
const term_history kLonger{ 2, "c", { { 1, 184 }, { 2, 190 } } };
const term_history kNewerUnknown{ 2, "", { { 1, 184 } } };

const lineage_row kLineageRows[] = {
  { "no term was replaced", {}, { 1, 188 }, 1, lineage::kIncluded },
  { "a longer log of the replaced term",
    kOneTerm,
    { 1, 188 },
    1,
    lineage::kDiverged },
  { "one record beyond the end", kOneTerm, { 1, 185 }, 1, lineage::kDiverged },
  { "the log with which the next term began",
    kOneTerm,
    { 1, 184 },
    1,
    lineage::kIncluded },
  { "a log that was behind all along",
    kOneTerm,
    { 1, 150 },
    1,
    lineage::kIncluded },
  { "a server that follows the next term but still holds what it left behind",
    kOneTerm,
    { 1, 188 },
    2,
    lineage::kDiverged },
  { "a log of the next term", kOneTerm, { 2, 300 }, 2, lineage::kIncluded },
  { "a later term began with less",
    kShorter,
    { 1, 184 },
    1,
    lineage::kDiverged },
  { "less than that", kShorter, { 1, 180 }, 1, lineage::kIncluded },
  { "of the term that was cut short",
    kShorter,
    { 2, 186 },
    2,
    lineage::kDiverged },
  { "a later term began with more",
    kLonger,
    { 1, 188 },
    1,
    lineage::kDiverged },
  { "its own records up to its end",
    kLonger,
    { 2, 190 },
    2,
    lineage::kIncluded },
  { "and beyond", kLonger, { 2, 191 }, 2, lineage::kDiverged },
  { "the end of the newest replaced term is not known",
    kNewerUnknown,
    { 2, 186 },
    2,
    lineage::kUnknown },
  { "but the server follows a later one",
    kNewerUnknown,
    { 2, 186 },
    3,
    lineage::kIncluded },
  { "but the log is beyond an earlier end",
    kNewerUnknown,
    { 1, 188 },
    3,
    lineage::kDiverged },
  { "nothing is known but that a term was replaced",
    { 1, "", {} },
    { 1, 150 },
    1,
    lineage::kUnknown },
};

struct merge_row
{
  const char* name;
  term_history older;
  term_history newer;
  term_history expect;
};

const merge_row kMergeRows[] = {
  { "the newer end of the same term applies",
    { 1, "b", { { 1, 184 } } },
    { 1, "c", { { 1, 186 } } },
    { 1, "c", { { 1, 186 } } } },
  { "a version without ends wrote the newer record",
    { 1, "b", { { 1, 184 } } },
    { 2, "", {} },
    { 2, "", { { 1, 184 } } } },
  { "the store was restored from an older record",
    { 2, "c", { { 1, 184 }, { 2, 190 } } },
    { 1, "b", { { 1, 184 } } },
    { 2, "c", { { 1, 184 }, { 2, 190 } } } },
  { "the record is gone",
    { 1, "b", { { 1, 184 } } },
    {},
    { 1, "b", { { 1, 184 } } } },
};

} // namespace

TEST_GROUP(term_history){};

TEST(term_history, tells_logs_that_a_later_term_left_behind)
{
  for (const auto& row : kLineageRows) {
    CHECK_TEXT(lead::LineageOf(row.history, row.last, row.followed) ==
                 row.expect,
               row.name);
  }
}

TEST(term_history, is_joined_with_what_a_vm_remembers)
{
  for (const auto& row : kMergeRows) {
    CHECK_TEXT(lead::Merge(row.older, row.newer) == row.expect, row.name);
  }
}

// Ends that are dropped must not make a log look included.
TEST(term_history, stays_short_and_never_admits_more)
{
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    const auto pick = [&random](std::uint64_t aBelow) {
      return std::uniform_int_distribution<std::uint64_t>(0,
                                                          aBelow - 1)(random);
    };
    term_history kept;
    term_history full;
    for (position::term_id term = 1; term <= 60; ++term) {
      const lead::term_end end{ term, 100 + term + pick(20) };
      lead::RecordEnd(kept, end);
      full.replaced = term;
      full.ends.push_back(end);
      CHECK(kept.ends.size() <= 8);
      const position::log_position last{ 1 + pick(term), 90 + pick(100) };
      const bool isAdmitted =
        lead::LineageOf(kept, last, 0) == lineage::kIncluded;
      CHECK(!isAdmitted ||
            lead::LineageOf(full, last, 0) == lineage::kIncluded);
    }
  }
}

#include "currantshed/group/refusals.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::group::Classify;
using currantshed::group::IsCertainAtCommit;
using currantshed::group::refusal;

namespace {

struct refusal_row
{
  const char* name;
  const char* sqlState;
  refusal kind;
  bool isCertainAtCommit;
};

constexpr refusal_row kRefusalRows[] = {
  { "division by zero", "22012", refusal::kStatement, false },
  { "unique violation", "23505", refusal::kStatement, true },
  { "serialization failure", "40001", refusal::kTransient, true },
  { "completion unknown", "40003", refusal::kTransient, false },
  { "deadlock", "40P01", refusal::kTransient, true },
  { "too many connections", "53300", refusal::kTransient, false },
  { "lock not available", "55P03", refusal::kTransient, false },
  { "administrator's shutdown", "57P01", refusal::kTransient, false },
  { "statement timeout", "57014", refusal::kStatement, false },
  { "read only", "25006", refusal::kNotPrimary, true },
  { "stale term", "CS001", refusal::kNotPrimary, true },
  { "none", "", refusal::kStatement, false },
};

} // namespace

TEST_GROUP(refusals){};

TEST(refusals, classes)
{
  for (const auto& row : kRefusalRows) {
    CHECK_TEXT(Classify(row.sqlState) == row.kind, row.name);
    CHECK_TEXT(IsCertainAtCommit(row.sqlState) == row.isCertainAtCommit,
               row.name);
  }
}

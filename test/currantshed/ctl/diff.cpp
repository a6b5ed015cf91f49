#include "currantshed/ctl/diff.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

constexpr const char* kClass = "classes:\n"
                               "  a: {access: read, served_in: [x], "
                               "max_staleness: 1s, may_be_repeated: yes, "
                               "deadline: 1s}\n";

struct diff_row
{
  const char* name;
  std::string before;
  std::string after;
  const char* expect;
};

const diff_row kRows[] = {
  { "nothing", kClass, kClass, "" },
  { "from nothing", "", kClass, "+ class a\n" },
  { "to nothing", kClass, "", "- class a\n" },
  { "order and form do not count",
    kClass,
    "classes:\n"
    "  a: {deadline: 1000ms, may_be_repeated: yes, served_in: [x], "
    "access: read, max_staleness: 1s, objective: 99.90%}\n",
    "" },
  { "fields",
    kClass,
    "classes:\n"
    "  a: {access: write, served_in: [x, y], may_be_repeated: no, "
    "deadline: 2s, objective: 99%, groups: [g]}\n",
    "~ class a access: read -> write\n"
    "~ class a deadline: 1s -> 2s\n"
    "~ class a groups: (all) -> [g]\n"
    "~ class a max_staleness: 1s -> (none)\n"
    "~ class a may_be_repeated: yes -> no\n"
    "~ class a objective: 99.9% -> 99%\n"
    "~ class a served_in: [x] -> [x, y]\n" },
  { "a class in another's place, and a group",
    kClass,
    "classes:\n"
    "  b: {access: read, served_in: [x], max_staleness: 1s, "
    "may_be_repeated: yes, deadline: 1s}\n"
    "groups: {g: {transaction_limit: 5s}}\n",
    "- class a\n+ class b\n+ group g\n" },
};

} // namespace

TEST_GROUP(ctl_diff){};

TEST(ctl_diff, table)
{
  for (const auto& row : kRows) {
    const auto changes =
      ctl::DiffDeclarations(policy::ParseDeclaration(row.before).value,
                            policy::ParseDeclaration(row.after).value);
    STRCMP_EQUAL_TEXT(row.expect, ctl::PrintChanges(changes).c_str(), row.name);
    LONGS_EQUAL_TEXT(
      changes.size(), ctl::ChangesToJson(changes).size(), row.name);
  }
}

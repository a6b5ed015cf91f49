#include "currantshed/pooler/declared_limits.hpp"

#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace currantshed;

namespace {

constexpr const char* kClasses = "classes:\n"
                                 "  lookups:\n"
                                 "    access: read\n"
                                 "    served_in: [abdali]\n"
                                 "    max_staleness: 5s\n"
                                 "    may_be_repeated: yes\n"
                                 "    deadline: 1s\n";

struct limit_row
{
  const char* name;
  /// Declarations in the order in which they are received.
  std::vector<std::string> declarations;
  std::chrono::milliseconds expected;
};

std::vector<limit_row>
LimitRows()
{
  const std::string ours =
    kClasses +
    std::string("groups:\n  planner-1:\n    transaction_limit: 7s\n");
  const std::string others =
    kClasses +
    std::string("groups:\n  planner-2:\n    transaction_limit: 7s\n");
  return {
    { "none yet", {}, policy::kDefaultTransactionLimit },
    { "declared", { ours }, 7s },
    { "declared for another group",
      { others },
      policy::kDefaultTransactionLimit },
    { "no longer declared",
      { ours, kClasses },
      policy::kDefaultTransactionLimit },
    { "a faulty one changes nothing", { ours, "classes: []" }, 7s },
  };
}

} // namespace

TEST_GROUP(declared_limits){};

TEST(declared_limits, transaction_limit)
{
  for (const auto& row : LimitRows()) {
    pooler::declared_limits limits;
    for (const auto& declaration : row.declarations) {
      (void)limits.Update(declaration);
    }
    const auto groups = limits.Apply({ { "planner-1", {} } });
    CHECK_TEXT(groups[0].transactionLimit == row.expected, row.name);
  }
}

#include "currantshed/policy/declaration.hpp"

#include <string>

#include <absl/strings/str_cat.h>

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

constexpr const char* kGood = "classes:\n"
                              "  b:\n"
                              "    access: read\n"
                              "    served_in: [y, x]\n"
                              "    max_staleness: 30s\n"
                              "    may_be_repeated: yes\n"
                              "    deadline: 1500ms\n"
                              "    objective: 99.95%\n"
                              "    groups: [g1]\n"
                              "  a:\n"
                              "    access: write\n"
                              "    served_in:\n"
                              "      - x\n"
                              "    may_be_repeated: no\n"
                              "    deadline: 60s\n"
                              "groups:\n"
                              "  g1: { transaction_limit: 10s }\n";

constexpr const char* kCanonical = "classes:\n"
                                   "  a:\n"
                                   "    access: write\n"
                                   "    served_in: [x]\n"
                                   "    may_be_repeated: no\n"
                                   "    deadline: 1m\n"
                                   "    objective: 99.9%\n"
                                   "  b:\n"
                                   "    access: read\n"
                                   "    served_in: [x, y]\n"
                                   "    max_staleness: 30s\n"
                                   "    may_be_repeated: yes\n"
                                   "    deadline: 1500ms\n"
                                   "    objective: 99.95%\n"
                                   "    groups: [g1]\n"
                                   "groups:\n"
                                   "  g1:\n"
                                   "    transaction_limit: 10s\n";

/// A class that is right, up to what a row adds.
constexpr const char* kWrite = "classes:\n"
                               "  a:\n"
                               "    access: write\n"
                               "    served_in: [x]\n"
                               "    may_be_repeated: no\n"
                               "    deadline: 1s\n";

struct fault_row
{
  const char* name;
  std::string given;
  /// Each fault as line:column message, with line ends.
  const char* expect;
};

std::string
Repeat(const std::string& aText, int aCount)
{
  std::string all;
  for (int i = 0; i < aCount; ++i) {
    all += aText;
  }
  return all;
}

const fault_row kFaultRows[] = {
  { "empty", "", "1:1 the declaration is empty; it needs classes\n" },
  { "no map", "[a]", "1:1 the declaration must be a map of key: value\n" },
  { "not YAML",
    "classes: [a\nb: c",
    "2:2 not valid YAML: end of sequence flow not found\n" },
  { "two documents",
    absl::StrCat(kWrite, "---\na: 1\n"),
    "8:1 only one document may stand in a declaration\n" },
  { "no classes", "groups: {}", "1:1 the declaration lacks classes\n" },
  { "no class", "classes: {}", "1:1 classes must have at least one class\n" },
  { "a top key that is nearly known",
    absl::StrCat(kWrite, "group: {}\n"),
    "7:1 unknown key 'group' in the declaration; did you mean 'groups'?\n" },
  { "an unknown key that is near, and one that is not",
    absl::StrCat(kWrite, "    objektive: 99%\n    weight: 3\n"),
    "7:5 unknown key 'objektive' in class 'a'; did you mean 'objective'?\n"
    "8:5 unknown key 'weight' in class 'a'; known are: access, served_in, "
    "max_staleness, may_be_repeated, deadline, objective, groups\n" },
  { "a key twice",
    absl::StrCat(kWrite, "    deadline: 2s\n"),
    "7:5 'deadline' stands twice in class 'a'; keep one of them\n" },
  { "a class twice",
    absl::StrCat(kWrite, "  a: {}\n"),
    "7:3 'a' stands twice in classes; keep one of them\n" },
  { "all that is missing",
    "classes:\n  a: {}\n",
    "2:3 class 'a' lacks access\n2:3 class 'a' lacks served_in\n"
    "2:3 class 'a' lacks may_be_repeated\n2:3 class 'a' lacks deadline\n" },
  { "a class without a body",
    "classes:\n  a:\n",
    "2:3 class 'a' must be a map of key: value\n" },
  { "a write that is stale",
    absl::StrCat(kWrite, "    max_staleness: 1s\n"),
    "7:5 class 'a' writes, so it can't have max_staleness; leave it out, or "
    "set access: read\n" },
  { "a read without its staleness",
    "classes:\n  a: {access: read, served_in: [x], may_be_repeated: yes, "
    "deadline: 1s}\n",
    "2:3 class 'a' reads, so it needs max_staleness; 0s asks for fresh "
    "data\n" },
  { "several at once, in the order of the text",
    "classes:\n"
    "  a:\n"
    "    access: reads\n"
    "    served_in: []\n"
    "    may_be_repeated: maybe\n"
    "    deadline: 1.5s\n"
    "    objective: 100%\n"
    "groups:\n"
    "  g: {transaction_limit: 10}\n",
    "3:13 access must be one of: read, write; is 'reads'\n"
    "4:16 served_in must be a list with at least one name, as [a, b]\n"
    "5:22 may_be_repeated must be one of: no, yes; is 'maybe'\n"
    "6:15 deadline must be a time from 10ms to 5m with its unit (ms, s, m or "
    "h); is '1.5s'\n"
    "7:16 objective must be a share from 50% to 99.999%; is '100%'\n"
    "9:26 transaction_limit must be a time from 100ms to 10m with its unit "
    "(ms, s, m or h); is '10'\n" },
  { "values of another kind",
    "classes:\n"
    "  a:\n"
    "    access: [write]\n"
    "    served_in: x\n"
    "    may_be_repeated:\n"
    "    deadline: {s: 1}\n",
    "3:13 access must be one of: read, write\n"
    "4:16 served_in must be a list with at least one name, as [a, b]\n"
    "5:5 may_be_repeated must be one of: no, yes\n"
    "6:15 deadline must be a time from 10ms to 5m with its unit (ms, s, m or "
    "h)\n" },
  { "places twice, or no names",
    "classes:\n"
    "  a:\n"
    "    access: write\n"
    "    served_in: [x, x, [y], 'a b']\n"
    "    may_be_repeated: no\n"
    "    deadline: 1s\n",
    "4:20 'x' stands twice in served_in; keep one\n"
    "4:23 each of served_in must be a name\n"
    "4:28 'a b' can't be a name in served_in; use up to 64 letters, digits, "
    "dots, dashes and underscores, the first a letter or digit\n" },
  { "a name that is none",
    "classes:\n  ../x: {}\n",
    "2:3 '../x' can't be a name in classes; use up to 64 letters, digits, "
    "dots, dashes and underscores, the first a letter or digit\n" },
  { "too long a text",
    std::string(policy::kMaxDeclarationBytes + 1, '#'),
    "1:1 the declaration has 262145 bytes; at most 262144 are taken\n" },
  { "nested without end",
    Repeat("[", 5000),
    "1:1 not valid YAML: nested too deeply\n" },
};

std::string
Print(const std::vector<policy::fault>& aFaults)
{
  std::string text;
  for (const auto& one : aFaults) {
    absl::StrAppend(&text, one.line, ":", one.column, " ", one.message, "\n");
  }
  return text;
}

/// yaml-cpp keeps the patterns of its scanner for the process's life, each
/// from its first use on. All are used before the first test, so that the
/// leak check of the tests sees only what a test leaves behind.
bool
UseAllPatterns()
{
  for (const auto& row : kFaultRows) {
    static_cast<void>(policy::ParseDeclaration(row.given));
  }
  return policy::ParseDeclaration(kGood).faults.empty();
}

const bool kPatternsAreUsed = UseAllPatterns();

} // namespace

TEST_GROUP(declaration){};

TEST(declaration, good)
{
  CHECK(kPatternsAreUsed);
  const auto read = policy::ParseDeclaration(kGood);
  STRCMP_EQUAL("", Print(read.faults).c_str());
  LONGS_EQUAL(2, read.value.classes.size());
  const auto* const b = policy::FindClass(read.value, "b");
  CHECK(b != nullptr && b->kind == policy::access::kRead && b->repeatable);
  LONGS_EQUAL(30000, b->maxStaleness.count());
  LONGS_EQUAL(1500, b->deadline.count());
  DOUBLES_EQUAL(0.9995, b->objective, 1e-12);
  STRCMP_EQUAL("x", b->servedIn.front().c_str());
  CHECK(policy::FindClass(read.value, "c") == nullptr);
  LONGS_EQUAL(10000, policy::TransactionLimitOf(read.value, "g1").count());
  LONGS_EQUAL(30000, policy::TransactionLimitOf(read.value, "g2").count());
}

TEST(declaration, canonical_form)
{
  const auto read = policy::ParseDeclaration(kGood);
  const std::string text = policy::PrintDeclaration(read.value);
  STRCMP_EQUAL(kCanonical, text.c_str());
  const auto again = policy::ParseDeclaration(text);
  STRCMP_EQUAL("", Print(again.faults).c_str());
  CHECK(read.value == again.value);
}

TEST(declaration, faults)
{
  for (const auto& row : kFaultRows) {
    const auto read = policy::ParseDeclaration(row.given);
    STRCMP_EQUAL_TEXT(row.expect, Print(read.faults).c_str(), row.name);
  }
}

TEST(declaration, too_many_faults_are_bounded)
{
  std::string text = kWrite;
  for (int i = 0; i < 1000; ++i) {
    absl::StrAppend(&text, "    k", i, ": 1\n");
  }
  LONGS_EQUAL(100, policy::ParseDeclaration(text).faults.size());
}

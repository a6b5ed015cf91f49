#include "currantshed/burn/program.hpp"

#include <iostream>
#include <string>
#include <vector>

#include "currantshed/support/captured_stream.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::support::captured_stream;

namespace {

struct program_row
{
  const char* name;
  std::vector<const char*> given;
  int expect;
  /// Expected substrings of standard output and standard error.
  const char* out;
  const char* errors;
};

const program_row kRows[] = {
  { "help", { "--help" }, 0, "  3  no data", "" },
  { "version", { "--version" }, 0, "currantshed-burn 0.", "" },
  { "settings",
    { "--targets=127.0.0.1:1", "--interval=5s", "--print-settings" },
    0,
    "interval                         5s ",
    "" },
  { "no declaration", {}, 2, "", "no declaration: " },
  { "a missing declaration file",
    { "--declaration=/nowhere/x.yaml" },
    2,
    "",
    "no declaration: " },
  { "a declaration with faults",
    { "--declaration=/dev/null" },
    2,
    "",
    "declaration:1:1: the declaration is empty" },
  { "invalid flags",
    { "--samples=0", "--bogus" },
    2,
    "",
    "unknown flag --bogus" },
};

} // namespace

TEST_GROUP(burn_program){};

TEST(burn_program, command_lines)
{
  for (const auto& row : kRows) {
    std::vector<const char*> values{ "currantshed-burn" };
    values.insert(values.end(), row.given.begin(), row.given.end());
    int code = 0;
    std::string out;
    std::string errors;
    {
      const captured_stream outStream(std::cout);
      const captured_stream errorStream(std::cerr);
      code = currantshed::burn::RunProgram(static_cast<int>(values.size()),
                                           values.data());
      out = outStream.Text();
      errors = errorStream.Text();
    }
    LONGS_EQUAL_TEXT(row.expect, code, row.name);
    CHECK_TEXT(out.find(row.out) != std::string::npos, row.name);
    CHECK_TEXT(errors.find(row.errors) != std::string::npos, row.name);
    CHECK_EQUAL_TEXT(row.expect == 0, errors.empty(), row.name);
  }
}

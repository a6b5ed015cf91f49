#include "currantshed/ctl/program.hpp"

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
  /// Expected substrings of the standard output and standard error streams.
  const char* out;
  const char* errors;
};

const program_row kRows[] = {
  { "nothing", {}, 2, "", "Usage: currantshedctl VERB" },
  { "help", { "--help" }, 0, "  7  the time ran out", "" },
  { "version", { "--version" }, 0, "currantshedctl 0.", "" },
  { "an unknown verb", { "aply" }, 2, "", "no such verb: aply" },
  { "help of validate", { "validate", "--help" }, 0, "--output", "" },
  { "help of diff", { "diff", "--help" }, 0, "--platform-url", "" },
  { "help of apply", { "apply", "--help" }, 0, "--expect-version", "" },
  { "help of show", { "show", "--help" }, 0, "--platform-timeout", "" },
  { "help of status", { "status", "--help" }, 0, "--vm-timeout", "" },
  { "help of wait", { "wait", "--help" }, 0, "--version N", "" },
  { "settings of wait",
    { "wait", "--version", "3", "--timeout=1s", "--print-settings" },
    0,
    "version                          3 ",
    "" },
  { "settings of apply",
    { "apply", "f", "--change=c", "--expect-version=7", "--print-settings" },
    0,
    "change                           c ",
    "" },
  { "wait without a version", { "wait" }, 2, "", "wait needs --version" },
  { "an invalid gateway port",
    { "status", "--gateway-status-port=x" },
    2,
    "",
    "--gateway-status-port must be a port or +N" },
  { "no file", { "validate" }, 2, "", "validate needs one FILE" },
  { "two files", { "validate", "a", "b" }, 2, "", "validate needs one FILE" },
  { "a file that is not there",
    { "validate", "/nowhere/x.yaml" },
    2,
    "",
    "can't read the file /nowhere/x.yaml" },
  { "an unexpected file", { "show", "f" }, 2, "", "unexpected argument f" },
  { "an invalid expected version",
    { "apply", "f", "--expect-version=x" },
    2,
    "",
    "--expect-version must be a whole number" },
  { "a retry without the expected version",
    { "apply", "f", "--change=c" },
    2,
    "",
    "--change needs the --expect-version" },
};

} // namespace

TEST_GROUP(ctl_program){};

TEST(ctl_program, command_lines)
{
  for (const auto& row : kRows) {
    std::vector<const char*> values{ "currantshedctl" };
    values.insert(values.end(), row.given.begin(), row.given.end());
    int code = 0;
    std::string out;
    std::string errors;
    {
      const captured_stream outStream(std::cout);
      const captured_stream errorStream(std::cerr);
      code = currantshed::ctl::RunProgram(static_cast<int>(values.size()),
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

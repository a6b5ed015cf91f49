#include "currantshed/settings/parser.hpp"

#include <map>
#include <sstream>

#include <CppUTest/TestHarness.h>

using currantshed::settings::environment;
using currantshed::settings::parse_end;
using currantshed::settings::parse_result;
using currantshed::settings::parser;

namespace {

/// Sample settings used by the rows below.
struct sample
{
  std::string address = "127.0.0.1";
  std::string vm;
  std::string key;
  std::uint16_t port = 0;
  unsigned threads = 2;
  std::chrono::milliseconds validity{ 200 };
  bool quiet = false;
  std::string output = "text";
  std::vector<std::string> files;

  void Declare(parser& aParser)
  {
    aParser.Text(vm, "vm", "name of this VM", true);
    aParser.Text(address, "address", "IP number");
    aParser.Secret(key, "signing-key", "key of the tokens");
    aParser.Port(port, "port", "port", true);
    aParser.Count(threads, "threads", "traffic threads", 1, 64);
    aParser.Milliseconds(validity,
                         "validity",
                         "validity of an acknowledgement",
                         std::chrono::milliseconds(10),
                         std::chrono::seconds(5));
    aParser.Switch(quiet, "quiet", "print less");
    aParser.Choice(output, "output", "form", { "text", "json" });
    aParser.Arguments(files, "FILE...", "files");
  }

  [[nodiscard]] std::string Print() const
  {
    std::ostringstream text;
    text << vm << '|' << address << '|' << key << '|' << port << '|' << threads
         << '|' << validity.count() << '|' << quiet << '|' << output << '|'
         << files.size();
    return text.str();
  }
};

using variables = std::map<std::string, std::string>;

environment
From(const variables& aVariables)
{
  return [&aVariables](const std::string& aName) -> std::optional<std::string> {
    const auto found = aVariables.find(aName);
    if (found == aVariables.end()) {
      return std::nullopt;
    }
    return found->second;
  };
}

struct value_row
{
  const char* name;
  std::vector<std::string> given;
  variables environmentVariables;
  const char* expect;
};

const value_row kValueRows[] = {
  { "flags with a space and with an equals sign",
    { "--vm", "a", "--port=7000" },
    {},
    "a|127.0.0.1||7000|2|200|0|text|0" },
  { "environment",
    {},
    { { "CURRANTSHED_VM", "b" },
      { "CURRANTSHED_PORT", "1" },
      { "CURRANTSHED_QUIET", "yes" },
      { "CURRANTSHED_SIGNING_KEY", "k" } },
    "b|127.0.0.1|k|1|2|200|1|text|0" },
  { "a flag takes precedence over the environment",
    { "--vm", "flag", "--quiet=no" },
    { { "CURRANTSHED_VM", "variable" },
      { "CURRANTSHED_PORT", "1" },
      { "CURRANTSHED_QUIET", "yes" } },
    "flag|127.0.0.1||1|2|200|0|text|0" },
  { "an invalid variable is ignored if the flag is given",
    { "--vm=a", "--port=1", "--threads=3" },
    { { "CURRANTSHED_THREADS", "many" } },
    "a|127.0.0.1||1|3|200|0|text|0" },
  { "an empty variable counts as unset",
    { "--vm=a", "--port=1" },
    { { "CURRANTSHED_ADDRESS", "" } },
    "a|127.0.0.1||1|2|200|0|text|0" },
  { "bounds are inclusive",
    { "--vm=a", "--port=65535", "--threads=64", "--validity=5s" },
    {},
    "a|127.0.0.1||65535|64|5000|0|text|0" },
  { "a switch before an argument, units, a choice",
    { "--quiet",
      "one",
      "--vm=a",
      "--port=1",
      "--validity",
      "10",
      "two",
      "--output=json" },
    {},
    "a|127.0.0.1||1|2|10|1|json|2" },
  { "a value may hold an equals sign and be empty",
    { "--vm=a=b", "--port=1", "--address=" },
    {},
    "a=b|||1|2|200|0|text|0" },
};

struct fault_row
{
  const char* name;
  std::vector<std::string> given;
  variables environmentVariables;
  std::vector<std::string> expect;
};

const fault_row kFaultRows[] = {
  { "missing required settings",
    {},
    {},
    { "p: --vm: required, or set CURRANTSHED_VM",
      "p: --port: required, or set CURRANTSHED_PORT" } },
  { "unknown flags, with and without a value",
    { "--vm=a", "--port=1", "--bogus", "5", "--other=6", "-x" },
    {},
    { "p: unknown flag --bogus",
      "p: unknown flag --other=6",
      "p: unknown flag -x" } },
  { "all errors at once",
    { "--vm=a", "--port=0", "--threads", "65", "--validity=9ms", "--nope" },
    { { "CURRANTSHED_QUIET", "perhaps" }, { "CURRANTSHED_OUTPUT", "xml" } },
    { "p: unknown flag --nope",
      "p: --port: must be a whole number from 1 to 65535 (is '0')",
      "p: --threads: must be a whole number from 1 to 64 (is '65')",
      "p: --validity: must be a time from 10ms to 5s (is '9ms')",
      "p: CURRANTSHED_QUIET: must be yes or no (is 'perhaps')",
      "p: CURRANTSHED_OUTPUT: must be one of text, json (is 'xml')" } },
  { "no value",
    { "--vm=a", "--port" },
    {},
    { "p: --port: needs a value",
      "p: --port: required, or set CURRANTSHED_PORT" } },
  { "no value before another flag",
    { "--vm", "--port=1", "--address=x" },
    {},
    { "p: --vm: needs a value", "p: --vm: required, or set CURRANTSHED_VM" } },
  { "given twice",
    { "--vm=a", "--vm=b", "--port=1" },
    {},
    { "p: --vm: given more than once" } },
  { "a required text that is empty",
    { "--vm=", "--port=1" },
    {},
    { "p: --vm: required, or set CURRANTSHED_VM" } },
  { "malformed numbers",
    { "--vm=a", "--port=1x", "--threads=-1", "--validity=1.5s" },
    {},
    { "p: --port: must be a whole number from 1 to 65535 (is '1x')",
      "p: --threads: must be a whole number from 1 to 64 (is '-1')",
      "p: --validity: must be a time from 10ms to 5s (is '1.5s')" } },
};

} // namespace

TEST_GROUP(settings_parser)
{
  std::ostringstream out;
  std::ostringstream errors;

  parse_result Run(sample & aSample,
                   const std::vector<std::string>& aArguments,
                   const variables& aVariables)
  {
    parser reader("p", "a program");
    aSample.Declare(reader);
    return reader.Parse(aArguments, From(aVariables), out, errors);
  }
};

TEST(settings_parser, values)
{
  for (const auto& row : kValueRows) {
    errors.str("");
    sample read;
    const auto result = Run(read, row.given, row.environmentVariables);
    CHECK_TEXT(result.end == parse_end::kRun, row.name);
    STRCMP_EQUAL_TEXT("", errors.str().c_str(), row.name);
    STRCMP_EQUAL_TEXT(row.expect, read.Print().c_str(), row.name);
  }
}

TEST(settings_parser, faults)
{
  for (const auto& row : kFaultRows) {
    errors.str("");
    sample read;
    const auto result = Run(read, row.given, row.environmentVariables);
    std::string expected;
    for (const auto& line : row.expect) {
      expected += line + "\n";
    }
    expected += "p: see --help\n";
    CHECK_TEXT(result.end == parse_end::kExit, row.name);
    LONGS_EQUAL_TEXT(2, result.exitCode, row.name);
    STRCMP_EQUAL_TEXT(expected.c_str(), errors.str().c_str(), row.name);
  }
}

TEST(settings_parser, printed_settings_hide_secrets)
{
  sample read;
  const auto result =
    Run(read,
        { "--print-settings", "--vm=a", "--port=1", "--signing-key=hush" },
        { { "CURRANTSHED_THREADS", "7" } });
  LONGS_EQUAL(0, result.exitCode);
  CHECK(result.end == parse_end::kExit);
  const std::string text = out.str();
  CHECK(text.find("hush") == std::string::npos);
  CHECK(text.find("signing-key                      (hidden)") !=
        std::string::npos);
  CHECK(text.find("threads                          7                       "
                  "         environment") != std::string::npos);
  CHECK(text.find("validity                         200ms                   "
                  "         default") != std::string::npos);
}

TEST(settings_parser, help_and_version_need_nothing_else)
{
  sample read;
  LONGS_EQUAL(0, Run(read, { "--help" }, {}).exitCode);
  CHECK(out.str().find("--vm TEXT, CURRANTSHED_VM") != std::string::npos);
  out.str("");
  LONGS_EQUAL(0, Run(read, { "--version" }, {}).exitCode);
  STRCMP_EQUAL("p " CURRANTSHED_VERSION "\n", out.str().c_str());
}

TEST(settings_parser, a_program_may_have_its_own_version_flag)
{
  unsigned version = 0;
  parser reader("p", "a program");
  reader.Count(version, "version", "version to wait for", 1, 100);
  const auto result = reader.Parse({ "--version", "7" }, From({}), out, errors);
  STRCMP_EQUAL("", errors.str().c_str());
  CHECK(result.end == parse_end::kRun);
  LONGS_EQUAL(7, version);
}

TEST(settings_parser, a_wrong_secret_is_not_shown)
{
  sample read;
  static_cast<void>(Run(
    read, { "--vm=a", "--port=1", "--signing-key=h", "--signing-key=u" }, {}));
  STRCMP_EQUAL("p: --signing-key: given more than once\np: see --help\n",
               errors.str().c_str());
}

#include "currantshed/ctl/options.hpp"

#include <limits>
#include <ostream>

#include <absl/strings/str_format.h>

namespace currantshed::ctl {
namespace {

constexpr unsigned kMaxVersion = std::numeric_limits<unsigned>::max();
constexpr std::chrono::milliseconds kMinTimeout{ 1 };
constexpr std::chrono::minutes kMaxTimeout{ 60 };

constexpr const char* kExitCodes =
  "Exit codes:\n"
  "  0  done\n"
  "  2  invalid flags, or an unreadable file\n"
  "  3  the declaration is invalid; all errors are printed\n"
  "  4  not applied: the version in force is not the expected one\n"
  "  5  unknown whether it was applied; prints how to find out\n"
  "  6  the platform can't be reached\n"
  "  7  the time ran out before every live VM reported the version";

constexpr verb kVerbs[] = {
  { verb_id::kValidate,
    "validate",
    true,
    "validates a declaration; prints every error with line and column" },
  { verb_id::kDiff,
    "diff",
    true,
    "shows what applying a declaration would change" },
  { verb_id::kApply,
    "apply",
    true,
    "applies a declaration by compare-and-swap" },
  { verb_id::kShow, "show", false, "prints the declaration in force" },
  { verb_id::kStatus,
    "status",
    false,
    "shows every VM's readiness, configuration version and groups" },
  { verb_id::kWait,
    "wait",
    false,
    "waits until every live VM reports a configuration version" },
};

bool
QueriesVms(const verb& aVerb)
{
  return aVerb.id == verb_id::kStatus || aVerb.id == verb_id::kWait;
}

} // namespace

const verb*
FindVerb(const std::string& aName)
{
  for (const auto& one : kVerbs) {
    if (aName == one.name) {
      return &one;
    }
  }
  return nullptr;
}

void
DeclareSettings(settings::parser& aParser,
                const verb& aVerb,
                ctl_settings& aSettings)
{
  aParser.Choice(
    aSettings.outputFormat, "output", "output format", { "text", "json" });
  if (aVerb.id != verb_id::kValidate) {
    aParser.Text(aSettings.platformUrl,
                 "platform-url",
                 "URL of the platform's service, as http://IP:PORT",
                 true);
    aParser.Milliseconds(aSettings.platformTimeout,
                         "platform-timeout",
                         "time limit for one platform call",
                         kMinTimeout,
                         kMaxTimeout);
  }
  if (QueriesVms(aVerb)) {
    aParser.Text(aSettings.gatewayStatusPort,
                 "gateway-status-port",
                 "status port of the gateway on each VM, or +N for the "
                 "pooler's port plus N; without it, only poolers are queried");
    aParser.Milliseconds(aSettings.vmTimeout,
                         "vm-timeout",
                         "time limit for the response of one VM",
                         kMinTimeout,
                         kMaxTimeout);
  }
  if (aVerb.id == verb_id::kApply) {
    aParser.Text(aSettings.expectVersion,
                 "expect-version",
                 "apply only if this version is in force, 0 for none; "
                 "default: the version in force now");
    aParser.Text(aSettings.change,
                 "change",
                 "id of an earlier change whose outcome is unknown; makes "
                 "the retry idempotent");
    aParser.Text(aSettings.appliedBy,
                 "applied-by",
                 "who applies it; for information only");
    aParser.Milliseconds(aSettings.timeout,
                         "timeout",
                         "how long to retry while the platform "
                         "fails",
                         kMinTimeout,
                         kMaxTimeout);
  }
  if (aVerb.id == verb_id::kWait) {
    aParser.Count(aSettings.version,
                  "version",
                  "minimum version to wait for",
                  1,
                  kMaxVersion);
    aParser.Milliseconds(aSettings.timeout,
                         "timeout",
                         "how long to wait",
                         kMinTimeout,
                         kMaxTimeout);
  }
  if (aVerb.takesFile) {
    aParser.Arguments(aSettings.arguments,
                      "FILE",
                      "FILE is a YAML declaration; - reads the standard "
                      "input.");
  }
  aParser.Epilogue(kExitCodes);
}

void
PrintUsage(std::ostream& aOut)
{
  aOut << kProgram
       << ": manages the declared targets of work classes\n\n"
          "Usage: "
       << kProgram << " VERB [flags] [FILE]\n\n";
  for (const auto& one : kVerbs) {
    aOut << absl::StreamFormat("  %-9s %s\n", one.name, one.summary);
  }
  aOut << "\nFILE is a YAML declaration; - reads the standard input.\n'"
       << kProgram
       << " VERB --help' lists the flags and environment variables."
          "\n\n"
       << kExitCodes << '\n';
}

} // namespace currantshed::ctl

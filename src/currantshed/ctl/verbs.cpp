#include "currantshed/ctl/verbs.hpp"

#include <ostream>

#include <absl/strings/str_cat.h>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "currantshed/ctl/apply_attempt.hpp"
#include "currantshed/ctl/diff.hpp"
#include "currantshed/ctl/pacer.hpp"

namespace currantshed::ctl {
namespace {

std::string
ConfigurationKey()
{
  return std::string(policy::kConfigurationKey);
}

/// The word for an end in JSON results.
const char*
NameOf(exit_code aCode)
{
  switch (aCode) {
    case exit_code::kOk:
      return "ok";
    case exit_code::kUsage:
      return "usage";
    case exit_code::kInvalidDeclaration:
      return "invalid_declaration";
    case exit_code::kLostRace:
      return "lost_race";
    case exit_code::kNotKnown:
      return "not_known";
    case exit_code::kPlatformUnreachable:
      return "platform_unreachable";
    case exit_code::kTimeout:
      return "timeout";
  }
  return "usage";
}

boost::json::array
FaultsToJson(const std::vector<policy::fault>& aFaults)
{
  boost::json::array list;
  for (const auto& one : aFaults) {
    list.push_back(boost::json::object{ { "line", one.line },
                                        { "column", one.column },
                                        { "message", one.message } });
  }
  return list;
}

std::string
PrintFaults(const std::string& aFile, const std::vector<policy::fault>& aFaults)
{
  std::string text;
  for (const auto& one : aFaults) {
    absl::StrAppend(
      &text, aFile, ":", one.line, ":", one.column, ": ", one.message, "\n");
  }
  return text;
}

bool
Has(const vm_report& aReport, std::uint64_t aVersion)
{
  return aReport.answered && aReport.version >= aVersion;
}

/// Whether every VM that stays has the version; false where there is none.
bool
AllHave(const std::vector<vm_report>& aReports, std::uint64_t aVersion)
{
  bool isAnyLive = false;
  for (const auto& one : aReports) {
    if (one.vm.leaving) {
      continue;
    }
    if (!Has(one, aVersion)) {
      return false;
    }
    isAnyLive = true;
  }
  return isAnyLive;
}

/// Runs an attempt to its end; pauses before each try after the first.
void
Drive(apply_attempt& aAttempt,
      const std::string& aValue,
      platform::index aExpected,
      clock::time_point aUntil,
      blocking_platform& aPlatform,
      pacer& aPacer)
{
  constexpr std::chrono::milliseconds kPause{ 200 };
  while (aAttempt.Next() != apply_step::kDone) {
    if (aPacer.Now() >= aUntil) {
      aAttempt.GiveUp();
      return;
    }
    if (aAttempt.Next() == apply_step::kSwap) {
      aAttempt.SwapEnded(aPlatform.Swap(ConfigurationKey(), aValue, aExpected));
      continue;
    }
    const auto read = aPlatform.Get(ConfigurationKey());
    aAttempt.ReadEnded(read.error, read.value);
    if (aAttempt.Next() != apply_step::kDone) {
      aPacer.Pause(kPause);
    }
  }
}

} // namespace

verbs::verbs(blocking_platform& aPlatform,
             http::fetcher& aFetcher,
             pacer& aPacer,
             const printer& aPrinter)
  : mPlatform(aPlatform)
  , mFetcher(aFetcher)
  , mPacer(aPacer)
  , mPrinter(aPrinter)
{
}

exit_code
verbs::Finish(exit_code aCode,
              boost::json::object aJson,
              const std::string& aText)
{
  if (mPrinter.form == output::kJson) {
    aJson["end"] = NameOf(aCode);
    mPrinter.out << boost::json::serialize(aJson) << '\n';
    return aCode;
  }
  (aCode == exit_code::kOk ? mPrinter.out : mPrinter.errors) << aText;
  return aCode;
}

std::optional<policy::declaration>
verbs::Read(const source_text& aFile)
{
  auto read = policy::ParseDeclaration(aFile.text);
  if (read.faults.empty()) {
    return std::move(read.value);
  }
  static_cast<void>(
    Finish(exit_code::kInvalidDeclaration,
           { { "file", aFile.name }, { "faults", FaultsToJson(read.faults) } },
           PrintFaults(aFile.name, read.faults)));
  return std::nullopt;
}

exit_code
verbs::Unreachable(const std::string& aWhy)
{
  return Finish(exit_code::kPlatformUnreachable,
                { { "error", aWhy } },
                absl::StrCat("the platform can't be asked: ", aWhy, "\n"));
}

std::optional<verbs::in_force>
verbs::ReadInForce()
{
  const auto read = mPlatform.Get(ConfigurationKey());
  if (read.error) {
    static_cast<void>(Unreachable(read.error.message()));
    return std::nullopt;
  }
  in_force result;
  result.stored = read.value.version;
  if (result.stored == 0) {
    return result;
  }
  const auto record = policy::ParseConfigurationRecord(read.value.value);
  if (!record) {
    static_cast<void>(Unreachable("the stored configuration can't be read"));
    return std::nullopt;
  }
  result.record = *record;
  return result;
}

exit_code
verbs::Validate(const source_text& aFile)
{
  const auto declared = Read(aFile);
  if (!declared) {
    return exit_code::kInvalidDeclaration;
  }
  const std::size_t classes = declared->classes.size();
  return Finish(exit_code::kOk,
                { { "file", aFile.name },
                  { "classes", classes },
                  { "faults", boost::json::array{} } },
                absl::StrCat(aFile.name, ": good, ", classes, " classes\n"));
}

exit_code
verbs::Diff(const source_text& aFile)
{
  const auto declared = Read(aFile);
  if (!declared) {
    return exit_code::kInvalidDeclaration;
  }
  const auto now = ReadInForce();
  if (!now) {
    return exit_code::kPlatformUnreachable;
  }
  const auto before = policy::ParseDeclaration(now->record.declaration).value;
  const auto changes = DiffDeclarations(before, *declared);
  const std::string head =
    changes.empty()
      ? absl::StrCat("no change against version ", now->record.version, "\n")
      : absl::StrCat("against version ", now->record.version, ":\n");
  return Finish(exit_code::kOk,
                { { "version", now->record.version },
                  { "changes", ChangesToJson(changes) } },
                absl::StrCat(head, PrintChanges(changes)));
}

exit_code
verbs::LostRace(std::uint64_t aExpected, std::uint64_t aFound)
{
  const std::string found = aFound == 0 ? "none or an unreadable one"
                                        : absl::StrCat("version ", aFound);
  return Finish(exit_code::kLostRace,
                { { "expected_version", aExpected }, { "version", aFound } },
                absl::StrCat("not applied, lost the race: expected version ",
                             aExpected,
                             ", in force is ",
                             found,
                             ". Look at it with 'show' and 'diff'.\n"));
}

exit_code
verbs::Applied(std::uint64_t aVersion, const std::string& aChange)
{
  return Finish(
    exit_code::kOk,
    { { "version", aVersion }, { "change", aChange } },
    absl::StrCat("applied as version ", aVersion, " (change ", aChange, ")\n"));
}

exit_code
verbs::Apply(const source_text& aFile, const apply_order& aOrder)
{
  const auto declared = Read(aFile);
  if (!declared) {
    return exit_code::kInvalidDeclaration;
  }
  const auto now = ReadInForce();
  if (!now) {
    return exit_code::kPlatformUnreachable;
  }
  const std::uint64_t version = now->record.version;
  if (aOrder.expected && *aOrder.expected != version) {
    return LostRace(*aOrder.expected, version);
  }
  if (now->record.declaration == aFile.text) {
    return Finish(exit_code::kOk,
                  { { "version", version }, { "change", now->record.change } },
                  absl::StrCat("already in force as version ", version, "\n"));
  }
  const policy::configuration_record record{ version + 1,
                                             aOrder.change,
                                             aFile.text };
  apply_attempt attempt(record, now->stored);
  Drive(attempt,
        policy::PrintConfigurationRecord(record),
        now->stored,
        mPacer.Now() + aOrder.atMost,
        mPlatform,
        mPacer);
  switch (attempt.End()) {
    case apply_end::kApplied:
      return Applied(record.version, record.change);
    case apply_end::kLostRace:
      return LostRace(version, attempt.Found());
    case apply_end::kNotKnown:
      break;
  }
  return Finish(exit_code::kNotKnown,
                { { "expected_version", version },
                  { "version", attempt.Found() },
                  { "change", record.change } },
                absl::StrCat("not known whether it was applied: no answer "
                             "came in time, or others changed it since. Ask "
                             "again with 'show': it was, if version ",
                             record.version,
                             " has the change ",
                             record.change,
                             ".\n"));
}

exit_code
verbs::Show()
{
  const auto now = ReadInForce();
  if (!now) {
    return exit_code::kPlatformUnreachable;
  }
  const auto& record = now->record;
  return Finish(exit_code::kOk,
                { { "version", record.version },
                  { "change", record.change },
                  { "declaration", record.declaration } },
                record.version == 0 ? "nothing is in force yet\n"
                                    : absl::StrCat("# version ",
                                                   record.version,
                                                   ", change ",
                                                   record.change,
                                                   "\n",
                                                   record.declaration));
}

std::optional<std::vector<vm_report>>
verbs::AskAll(const asking& aAsking)
{
  const auto listed = mPlatform.List();
  if (listed.error) {
    static_cast<void>(Unreachable(listed.error.message()));
    return std::nullopt;
  }
  return AskVms(listed.value.vms, mFetcher, aAsking.vmTimeout);
}

exit_code
verbs::Status(const asking& aAsking)
{
  const auto reports = AskAll(aAsking);
  if (!reports) {
    return exit_code::kPlatformUnreachable;
  }
  boost::json::array list;
  for (const auto& one : *reports) {
    list.push_back(ReportToJson(one));
  }
  return Finish(
    exit_code::kOk, { { "vms", std::move(list) } }, PrintReports(*reports));
}

exit_code
verbs::Wait(std::uint64_t aVersion,
            std::chrono::milliseconds aAtMost,
            const asking& aAsking)
{
  const auto until = mPacer.Now() + aAtMost;
  std::vector<vm_report> reports;
  std::string trouble;
  while (true) {
    const auto listed = mPlatform.List();
    trouble = listed.error ? listed.error.message() : "";
    if (!listed.error) {
      reports = AskVms(listed.value.vms, mFetcher, aAsking.vmTimeout);
      if (AllHave(reports, aVersion)) {
        return ReportWait(aVersion, reports, true);
      }
    }
    if (mPacer.Now() + aAsking.pause >= until) {
      break;
    }
    mPacer.Pause(aAsking.pause);
  }
  if (!trouble.empty()) {
    return Unreachable(trouble);
  }
  return ReportWait(aVersion, reports, false);
}

exit_code
verbs::ReportWait(std::uint64_t aVersion,
                  const std::vector<vm_report>& aReports,
                  bool aIsReached)
{
  boost::json::array missing;
  std::string names;
  std::size_t live = 0;
  for (const auto& one : aReports) {
    live += one.vm.leaving ? 0 : 1;
    if (one.vm.leaving || Has(one, aVersion)) {
      continue;
    }
    missing.push_back(boost::json::string(one.vm.id));
    absl::StrAppend(&names,
                    "  ",
                    one.vm.id,
                    one.answered ? absl::StrCat(" has version ", one.version)
                                 : absl::StrCat(": ", one.error),
                    "\n");
  }
  const std::string text =
    aIsReached
      ? absl::StrCat("version ", aVersion, " is on all ", live, " VMs\n")
      : absl::StrCat("no time left; version ",
                     aVersion,
                     " is missing on ",
                     missing.size(),
                     " of ",
                     live,
                     " live VMs\n",
                     names);
  return Finish(aIsReached ? exit_code::kOk : exit_code::kTimeout,
                { { "version", aVersion },
                  { "vms", live },
                  { "missing", std::move(missing) } },
                text);
}

} // namespace currantshed::ctl

#include "currantshed/ctl/verbs.hpp"

#include <ostream>

#include <absl/strings/str_cat.h>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "currantshed/ctl/diff.hpp"
#include "currantshed/ctl/sleep_clock.hpp"

namespace currantshed::ctl {
namespace {

/// The name of an exit code in JSON results.
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
    case exit_code::kOutcomeUnknown:
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

/// Who applied a record and when, if known.
std::string
DescribeAuthor(const policy::configuration_record& aRecord)
{
  const std::string by =
    aRecord.appliedBy.empty() ? "" : absl::StrCat(", by ", aRecord.appliedBy);
  const std::string at =
    aRecord.appliedAt.empty() ? "" : absl::StrCat(", at ", aRecord.appliedAt);
  return absl::StrCat(by, at);
}

bool
HasVersion(const vm_report& aReport, std::uint64_t aVersion)
{
  return aReport.answered && aReport.version >= aVersion;
}

/// Whether every VM that is not leaving has the version; false if there is no
/// such VM.
bool
AllLiveHave(const std::vector<vm_report>& aReports, std::uint64_t aVersion)
{
  bool isAnyLive = false;
  for (const auto& one : aReports) {
    if (one.vm.leaving) {
      continue;
    }
    if (!HasVersion(one, aVersion)) {
      return false;
    }
    isAnyLive = true;
  }
  return isAnyLive;
}

} // namespace

verbs::verbs(blocking_platform& aPlatform,
             http::fetcher& aFetcher,
             sleep_clock& aClock,
             const printer& aPrinter)
  : mPlatform(aPlatform)
  , mFetcher(aFetcher)
  , mClock(aClock)
  , mPrinter(aPrinter)
{
}

exit_code
verbs::Finish(exit_code aCode,
              boost::json::object aJson,
              const std::string& aText)
{
  if (mPrinter.format == output::kJson) {
    aJson["end"] = NameOf(aCode);
    mPrinter.out << boost::json::serialize(aJson) << '\n';
    return aCode;
  }
  (aCode == exit_code::kOk ? mPrinter.out : mPrinter.errors) << aText;
  return aCode;
}

std::optional<policy::declaration>
verbs::Read(const source_file& aFile)
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
                absl::StrCat("platform unavailable: ", aWhy, "\n"));
}

std::optional<policy::configuration_record>
verbs::ReadInForce()
{
  const auto read = mPlatform.Get(std::string(policy::kConfigurationKey));
  if (read.error) {
    static_cast<void>(Unreachable(read.error.message()));
    return std::nullopt;
  }
  if (read.value.version == 0) {
    return policy::configuration_record{};
  }
  auto record = policy::ParseConfigurationRecord(read.value.value);
  if (!record) {
    static_cast<void>(Unreachable("the stored configuration can't be read"));
  }
  return record;
}

exit_code
verbs::Validate(const source_file& aFile)
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
                absl::StrCat(aFile.name, ": valid, ", classes, " classes\n"));
}

exit_code
verbs::Diff(const source_file& aFile)
{
  const auto declared = Read(aFile);
  if (!declared) {
    return exit_code::kInvalidDeclaration;
  }
  const auto now = ReadInForce();
  if (!now) {
    return exit_code::kPlatformUnreachable;
  }
  const auto before = policy::ParseDeclaration(now->declaration).value;
  const auto changes = DiffDeclarations(before, *declared);
  const std::string head =
    changes.empty()
      ? absl::StrCat("no change against version ", now->version, "\n")
      : absl::StrCat("against version ", now->version, ":\n");
  return Finish(
    exit_code::kOk,
    { { "version", now->version }, { "changes", ChangesToJson(changes) } },
    absl::StrCat(head, PrintChanges(changes)));
}

exit_code
verbs::Show()
{
  const auto now = ReadInForce();
  if (!now) {
    return exit_code::kPlatformUnreachable;
  }
  const auto& record = *now;
  return Finish(exit_code::kOk,
                { { "version", record.version },
                  { "change", record.change },
                  { "applied_by", record.appliedBy },
                  { "applied_at", record.appliedAt },
                  { "declaration", record.declaration } },
                record.version == 0 ? "nothing is in force yet\n"
                                    : absl::StrCat("# version ",
                                                   record.version,
                                                   ", change ",
                                                   record.change,
                                                   DescribeAuthor(record),
                                                   "\n",
                                                   record.declaration));
}

std::optional<std::vector<vm_report>>
verbs::QueryAll(const query_options& aOptions)
{
  const auto listed = mPlatform.List();
  if (listed.error) {
    static_cast<void>(Unreachable(listed.error.message()));
    return std::nullopt;
  }
  return QueryVms(
    listed.value.vms, aOptions.gateways, mFetcher, aOptions.vmTimeout);
}

exit_code
verbs::Status(const query_options& aOptions)
{
  const auto reports = QueryAll(aOptions);
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
            std::chrono::milliseconds aTimeout,
            const query_options& aOptions)
{
  const auto until = mClock.Now() + aTimeout;
  std::vector<vm_report> reports;
  std::string lastError;
  while (true) {
    const auto listed = mPlatform.List();
    lastError = listed.error ? listed.error.message() : "";
    if (!listed.error) {
      reports = QueryVms(
        listed.value.vms, aOptions.gateways, mFetcher, aOptions.vmTimeout);
      if (AllLiveHave(reports, aVersion)) {
        return ReportWait(aVersion, reports, true);
      }
    }
    if (mClock.Now() + aOptions.roundDelay >= until) {
      break;
    }
    mClock.Sleep(aOptions.roundDelay);
  }
  if (!lastError.empty()) {
    return Unreachable(lastError);
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
    if (one.vm.leaving || HasVersion(one, aVersion)) {
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
      : absl::StrCat("timed out; version ",
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

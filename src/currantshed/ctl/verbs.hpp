#ifndef CURRANTSHED_CTL_VERBS_HPP
#define CURRANTSHED_CTL_VERBS_HPP

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>

#include <boost/json/object.hpp>

#include "currantshed/ctl/blocking_platform.hpp"
#include "currantshed/ctl/exit_code.hpp"
#include "currantshed/ctl/fwd.hpp"
#include "currantshed/ctl/vm_report.hpp"
#include "currantshed/http/fetcher.hpp"
#include "currantshed/policy/configuration_record.hpp"
#include "currantshed/policy/declaration.hpp"
#include "currantshed/store/apply.hpp"

namespace currantshed::ctl {

/// Output format of a result.
enum class output
{
  kText,
  kJson,
};

/// Output streams and format of a command.
struct printer
{
  output format = output::kText;
  std::ostream& out;
  std::ostream& errors;
};

/// A declaration file and its content.
struct source_file
{
  std::string name;
  std::string text;
};

/// Options of the commands that query VMs.
struct query_options
{
  /// Time limit for the response of one VM.
  std::chrono::milliseconds vmTimeout{ 2000 };
  /// Status port of the gateways; without it, only poolers are queried.
  std::optional<gateway_port> gateways;
  /// Delay between two rounds of queries in Wait.
  std::chrono::milliseconds roundDelay{ 200 };
};

/// Options of Apply.
struct apply_options
{
  /// Version that the change is based on; if absent, the version in force now.
  std::optional<std::uint64_t> expected;
  /// Unique id of the change, which makes a retry idempotent.
  std::string change;
  /// Whether this is a retry of a change whose outcome is unknown.
  bool askedBefore = false;
  /// Who applies it and when (RFC 3339); for information only.
  std::string appliedBy;
  std::string appliedAt;
  /// How long to retry while the platform fails.
  std::chrono::milliseconds timeout{ 15'000 };
};

/// Implements the commands of currantshedctl. Each writes its result and
/// returns an exit code.
class verbs
{
public:
  verbs(blocking_platform& aPlatform,
        http::fetcher& aFetcher,
        sleep_clock& aClock,
        const printer& aPrinter);

  /// Validates a declaration locally.
  [[nodiscard]] exit_code Validate(const source_file& aFile);

  /// Shows what applying the file would change.
  [[nodiscard]] exit_code Diff(const source_file& aFile);

  /// Applies the file if the expected version is still in force
  /// (compare-and-swap).
  [[nodiscard]] exit_code Apply(const source_file& aFile,
                                const apply_options& aOptions);

  /// Prints the declaration in force.
  [[nodiscard]] exit_code Show();

  /// Queries the status of every listed VM.
  [[nodiscard]] exit_code Status(const query_options& aOptions);

  /// Waits until every live VM reports at least this version. A listed VM
  /// counts as live unless it is leaving.
  [[nodiscard]] exit_code Wait(std::uint64_t aVersion,
                               std::chrono::milliseconds aTimeout,
                               const query_options& aOptions);

private:
  [[nodiscard]] std::optional<policy::declaration> Read(
    const source_file& aFile);
  /// Returns the record in force, with version zero if nothing was ever
  /// applied.
  [[nodiscard]] std::optional<policy::configuration_record> ReadInForce();
  [[nodiscard]] std::optional<std::vector<vm_report>> QueryAll(
    const query_options& aOptions);
  [[nodiscard]] exit_code ReportApply(const store::apply_result& aResult,
                                      const store::apply_request& aRequest);
  [[nodiscard]] exit_code LostRace(std::uint64_t aExpected,
                                   std::uint64_t aFound);
  [[nodiscard]] exit_code Applied(std::uint64_t aVersion,
                                  const std::string& aChange);
  [[nodiscard]] exit_code Unreachable(const std::string& aWhy);
  [[nodiscard]] exit_code Finish(exit_code aCode,
                                 boost::json::object aJson,
                                 const std::string& aText);
  [[nodiscard]] exit_code ReportWait(std::uint64_t aVersion,
                                     const std::vector<vm_report>& aReports,
                                     bool aIsReached);

  blocking_platform& mPlatform;
  http::fetcher& mFetcher;
  sleep_clock& mClock;
  printer mPrinter;
};

} // namespace currantshed::ctl

#endif

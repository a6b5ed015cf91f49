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

/// How the result is written.
enum class output
{
  kText,
  kJson,
};

/// Where a verb writes, and how.
struct printer
{
  output format = output::kText;
  std::ostream& out;
  std::ostream& errors;
};

/// A file of the operators'.
struct source_file
{
  std::string name;
  std::string text;
};

/// Times of the verbs that ask VMs.
struct query_options
{
  /// Time for one VM to answer.
  std::chrono::milliseconds vmTimeout{ 2000 };
  /// Where gateways are asked; none for poolers alone.
  std::optional<gateway_port> gateways;
  /// Pause between two rounds of wait.
  std::chrono::milliseconds roundDelay{ 200 };
};

/// What an operator asked to apply.
struct apply_options
{
  /// The version that the operator saw; none for the one in force now.
  std::optional<std::uint64_t> expected;
  /// Name of the change, never used before.
  std::string change;
  /// Whether the same change was asked for before, with no known end.
  bool askedBefore = false;
  /// Who applies it and when, as RFC 3339; only for people to read.
  std::string appliedBy;
  std::string appliedAt;
  /// How long the platform may fail before there is an answer.
  std::chrono::milliseconds timeout{ 15'000 };
};

/// The work of currantshedctl's verbs. Each writes its result and returns how
/// it ended.
class verbs
{
public:
  verbs(blocking_platform& aPlatform,
        http::fetcher& aFetcher,
        sleep_clock& aClock,
        const printer& aPrinter);

  /// Checks a declaration; asks nobody.
  [[nodiscard]] exit_code Validate(const source_file& aFile);

  /// Tells what applying the file would change.
  [[nodiscard]] exit_code Diff(const source_file& aFile);

  /// Puts the file in force if the expected version still is.
  [[nodiscard]] exit_code Apply(const source_file& aFile,
                                const apply_options& aOptions);

  /// Prints the declaration in force.
  [[nodiscard]] exit_code Show();

  /// Asks every listed VM for its status.
  [[nodiscard]] exit_code Status(const query_options& aOptions);

  /// Waits until every live VM reports the version or a higher one. Live is
  /// each listed VM that is not leaving.
  [[nodiscard]] exit_code Wait(std::uint64_t aVersion,
                               std::chrono::milliseconds aTimeout,
                               const query_options& aOptions);

private:
  [[nodiscard]] std::optional<policy::declaration> Read(
    const source_file& aFile);
  /// The record in force, of version zero where nothing was ever applied.
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

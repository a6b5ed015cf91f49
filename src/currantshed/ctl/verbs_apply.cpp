#include "currantshed/ctl/verbs.hpp"

#include <chrono>
#include <variant>

#include <absl/strings/str_cat.h>

#include "currantshed/ctl/sleep_clock.hpp"

namespace currantshed::ctl {
namespace {

/// Executes one step of an apply attempt and passes it the result.
void
ExecuteAction(const store::apply_action& aAction,
              store::applier& aApplier,
              blocking_platform& aPlatform,
              sleep_clock& aClock)
{
  if (const auto* const swap =
        std::get_if<store::swap_configuration>(&aAction)) {
    const auto outcome = aPlatform.Swap(
      std::string(policy::kConfigurationKey), swap->value, swap->expected);
    aApplier.ConfigurationSwapped(outcome, aClock.Now());
    return;
  }
  const auto read = aPlatform.Get(std::string(policy::kConfigurationKey));
  aApplier.ConfigurationRead(read.error, read.value, aClock.Now());
}

/// Runs an apply attempt to completion.
store::apply_result
RunToCompletion(store::applier& aApplier,
                blocking_platform& aPlatform,
                sleep_clock& aClock)
{
  while (!aApplier.Result()) {
    const auto actions = aApplier.TakeActions();
    for (const auto& action : actions) {
      ExecuteAction(action, aApplier, aPlatform, aClock);
    }
    const auto now = aClock.Now();
    const bool mustWait = actions.empty() && aApplier.NextTick() > now;
    if (mustWait) {
      aClock.Sleep(std::chrono::ceil<std::chrono::milliseconds>(
        aApplier.NextTick() - now));
    }
    aApplier.Tick(aClock.Now());
  }
  return *aApplier.Result();
}

} // namespace

exit_code
verbs::LostRace(std::uint64_t aExpected, std::uint64_t aFound)
{
  const std::string found = aFound == 0 ? "none, or an unreadable version"
                                        : absl::StrCat("version ", aFound);
  return Finish(exit_code::kLostRace,
                { { "expected_version", aExpected }, { "version", aFound } },
                absl::StrCat("not applied, version conflict: expected version ",
                             aExpected,
                             ", in force is ",
                             found,
                             ". Compare with 'show' and 'diff'.\n"));
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
verbs::Apply(const source_file& aFile, const apply_options& aOptions)
{
  const auto declared = Read(aFile);
  if (!declared) {
    return exit_code::kInvalidDeclaration;
  }
  const auto now = ReadInForce();
  if (!now) {
    return exit_code::kPlatformUnreachable;
  }
  const auto& record = *now;
  if (!aOptions.askedBefore && record.declaration == aFile.text &&
      aOptions.expected.value_or(record.version) == record.version) {
    return Finish(
      exit_code::kOk,
      { { "version", record.version }, { "change", record.change } },
      absl::StrCat("already in force as version ", record.version, "\n"));
  }
  store::apply_request request;
  request.declaration = aFile.text;
  request.change = aOptions.change;
  request.askedBefore = aOptions.askedBefore;
  request.expectedVersion = aOptions.expected.value_or(record.version);
  request.appliedBy = aOptions.appliedBy;
  request.appliedAt = aOptions.appliedAt;
  request.giveUpAfter = aOptions.timeout;
  store::applier attempt(request, mClock.Now());
  return ReportApply(RunToCompletion(attempt, mPlatform, mClock), request);
}

exit_code
verbs::ReportApply(const store::apply_result& aResult,
                   const store::apply_request& aRequest)
{
  using store::apply_outcome;
  switch (aResult.outcome) {
    case apply_outcome::kApplied:
      return Applied(aResult.version, aRequest.change);
    case apply_outcome::kLostRace:
      return LostRace(aRequest.expectedVersion, aResult.inForce);
    case apply_outcome::kNotReached:
      return Unreachable("no answer; nothing was written");
    case apply_outcome::kUnreadable:
      return Unreachable(
        "the stored configuration can't be read; nothing was written");
    case apply_outcome::kTooLarge:
      return Finish(exit_code::kInvalidDeclaration,
                    { { "error", "too_large" } },
                    "not applied: larger than the platform's values may be\n");
    case apply_outcome::kUnknown:
      break;
  }
  return Finish(exit_code::kOutcomeUnknown,
                { { "expected_version", aRequest.expectedVersion },
                  { "version", aResult.inForce },
                  { "change", aRequest.change } },
                absl::StrCat("unknown whether it was applied. Retry "
                             "with: apply FILE --expect-version ",
                             aRequest.expectedVersion,
                             " --change ",
                             aRequest.change,
                             "\n"));
}

} // namespace currantshed::ctl

#include "currantshed/load/experiment.hpp"

#include <algorithm>
#include <charconv>
#include <ostream>
#include <thread>
#include <utility>

#include "currantshed/load/control.hpp"
#include "currantshed/load/runner.hpp"

namespace currantshed::load {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPrepareTimeout{ 30000 };
constexpr milliseconds kReadContentsTimeout{ 15000 };
constexpr milliseconds kPollInterval{ 10 };
constexpr std::chrono::seconds kProgressInterval{ 1 };

/// Cuts the primary off. The recorded time is taken before the request, so that
/// a gap is never underestimated.
void
InjectCut(const control& aControl,
          const runner& aRunner,
          const std::string& aGroup,
          history& aSeen,
          std::ostream& aProgress)
{
  const auto primary = aControl.Primary(aGroup);
  const run_offset at = aRunner.Now();
  if (!primary || !aControl.Fault(*primary, "cut=all")) {
    aProgress << "cut failed group=" << aGroup << std::endl;
    aSeen.cuts.push_back({ aGroup, "", aRunner.Now() + kReadContentsTimeout });
    return;
  }
  aSeen.cuts.push_back({ aGroup, primary->id, at });
  aProgress << "cut group=" << aGroup << " server=" << primary->id << std::endl;
}

void
ShowProgress(const runner& aRunner, std::ostream& aProgress)
{
  const progress& counts = aRunner.Progress();
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aRunner.Now());
  aProgress << "progress seconds=" << seconds.count()
            << " requests=" << counts.answers
            << " acknowledged=" << counts.acknowledged
            << " not_run=" << counts.notRun << " unknown=" << counts.unknown
            << std::endl;
}

/// Injects the cuts and prints the progress until every session has ended.
void
Supervise(const runner& aRunner,
          const control& aControl,
          std::vector<cut_order> aCuts,
          history& aSeen,
          std::ostream& aProgress)
{
  run_offset nextProgress = kProgressInterval;
  while (!aRunner.Ended()) {
    const auto due = std::find_if(
      aCuts.begin(), aCuts.end(), [&aRunner](const cut_order& aCut) {
        return aCut.at <= aRunner.Now();
      });
    if (due != aCuts.end()) {
      InjectCut(aControl, aRunner, due->group, aSeen, aProgress);
      aCuts.erase(due);
    }
    if (aRunner.Now() >= nextProgress) {
      ShowProgress(aRunner, aProgress);
      nextProgress += kProgressInterval;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

} // namespace

bool
ParseCuts(std::string_view aText, std::vector<cut_order>& aCuts)
{
  while (!aText.empty()) {
    const auto comma = std::min(aText.find(','), aText.size());
    const std::string_view part = aText.substr(0, comma);
    aText.remove_prefix(std::min(comma + 1, aText.size()));
    const auto sign = part.find('@');
    if (sign == std::string_view::npos || sign == 0) {
      return false;
    }
    const std::string_view digits = part.substr(sign + 1);
    std::int64_t count = 0;
    const char* const last = digits.data() + digits.size();
    const auto [end, fault] = std::from_chars(digits.data(), last, count);
    if (fault != std::errc{} || end != last || count < 0) {
      return false;
    }
    aCuts.push_back({ std::string(part.substr(0, sign)), milliseconds(count) });
  }
  return true;
}

experiment_result
RunExperiment(const plan& aPlan,
              const shape& aShape,
              std::vector<cut_order> aCuts,
              std::ostream& aProgress)
{
  experiment_result result;
  const control servers(aShape.upstreams);
  runner sessions(aPlan);
  if (!sessions.Prepare(kPrepareTimeout)) {
    result.fault = "the tables of the run could not be created in every group";
    return result;
  }
  aProgress << "started" << std::endl;
  sessions.Start();
  Supervise(sessions, servers, std::move(aCuts), result.seen, aProgress);
  Append(result.seen, sessions.Finish());
  std::vector<group_contents> contents;
  for (const std::string& group : aPlan.groups) {
    if (auto held = servers.ReadContents(group, kReadContentsTimeout)) {
      contents.push_back(std::move(*held));
    }
  }
  result.found = Check(result.seen, contents);
  return result;
}

} // namespace currantshed::load

#include "test/matrix/plan.hpp"

#include <algorithm>
#include <array>

#include "test/matrix/steps.hpp"

namespace currantshed::matrix {

namespace {

constexpr std::array<std::string_view, kFaults> kFaultNames{
  "primary partitioned", "primary isolated",      "primary dies",
  "primary frozen",      "replica behind",        "replica lags",
  "replicas behind",     "replica dies",          "pooler dies",
  "pooler paused",       "pooler paused briefly", "pooler cut off",
  "gateway dies",        "gateway paused",        "store down",
  "store slow",          "store answers lost",    "operators race",
  "message slow",        "message late",          "message lost",
  "message twice",       "message overtaken",     "replica leaves",
  "primary leaves",      "gateway stops",         "pooler stops",
};

constexpr std::array<std::string_view, kSeededBugs> kSeededBugNames{
  "none",
  "session floor dropped",
  "staleness bound raised",
  "confirmed by the primary's word alone",
  "validity endless",
  "answers dated by their arrival",
  "promotion without waiting out",
  "fence answers forged",
  "resent without its key",
  "unknown told as not run",
  "connection shared between transactions",
  "torn answer taken for whole",
  "answers swapped",
  "leaving hidden",
  "stops without waiting",
  "configuration last seen wins",
};

} // namespace

std::string_view
Name(fault aFault)
{
  return kFaultNames.at(static_cast<std::size_t>(aFault));
}

std::string_view
Name(seeded_bug aBug)
{
  return kSeededBugNames.at(static_cast<std::size_t>(aBug));
}

std::string
Print(const plan& aPlan)
{
  std::string text = aPlan.failover ? "failover" : "calm";
  constexpr std::size_t kMostShown = 3;
  const auto& all = aPlan.injections;
  for (std::size_t at = 0; at < std::min(all.size(), kMostShown); ++at) {
    const auto& injected = all[at];
    text += "; " + std::string(Name(injected.what)) + " at " +
            Steps().at(injected.step).name + " #" +
            std::to_string(injected.occurrence);
  }
  if (all.size() > kMostShown) {
    text += "; and " + std::to_string(all.size() - kMostShown) + " more";
  }
  return text + "; seed " + std::to_string(aPlan.seed);
}

} // namespace currantshed::matrix

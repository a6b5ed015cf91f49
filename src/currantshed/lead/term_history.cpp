#include "currantshed/lead/term_history.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

namespace currantshed::lead {

namespace {

// Number of ends that are kept. Most groups need one: an end that a later term
// undercuts is dropped.
constexpr std::size_t kMaxEnds = 8;

// Drops ends that a later one makes redundant, except for the newest two, which
// may still be corrected. Beyond the limit, the two oldest ones are joined,
// with the lower index for both.
void
Compact(std::vector<term_end>& aEnds)
{
  for (std::size_t i = 0; i + 2 < aEnds.size();) {
    if (aEnds[i].last >= aEnds[i + 1].last) {
      aEnds.erase(aEnds.begin() + static_cast<std::ptrdiff_t>(i));
    } else {
      ++i;
    }
  }
  while (aEnds.size() > kMaxEnds) {
    aEnds[1].last = std::min(aEnds[0].last, aEnds[1].last);
    aEnds.erase(aEnds.begin());
  }
}

void
Insert(std::vector<term_end>& aEnds, const term_end& aEnd, bool aReplaces)
{
  const auto place =
    std::lower_bound(aEnds.begin(),
                     aEnds.end(),
                     aEnd,
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.term < aRight.term;
                     });
  if (place == aEnds.end() || place->term != aEnd.term) {
    aEnds.insert(place, aEnd);
  } else if (aReplaces) {
    *place = aEnd;
  }
}

} // namespace

lineage
LineageOf(const term_history& aHistory,
          const position::log_position& aLast,
          position::term_id aFollowedTerm)
{
  if (aLast.term > aHistory.replaced) {
    return lineage::kIncluded;
  }
  const auto& ends = aHistory.ends;
  const bool isBeyond =
    std::any_of(ends.begin(), ends.end(), [&aLast](const auto& aEnd) {
      return aEnd.term >= aLast.term && aLast.index > aEnd.last;
    });
  if (isBeyond) {
    return lineage::kDiverged;
  }
  const bool isEndKnown =
    !ends.empty() && ends.back().term >= aHistory.replaced;
  return isEndKnown || aFollowedTerm > aHistory.replaced ? lineage::kIncluded
                                                         : lineage::kUnknown;
}

void
RecordEnd(term_history& aHistory, const term_end& aEnd)
{
  aHistory.replaced = std::max(aHistory.replaced, aEnd.term);
  Insert(aHistory.ends, aEnd, true);
  Compact(aHistory.ends);
}

bool
HaveSameEnds(const term_history& aLeft, const term_history& aRight)
{
  return aLeft.replaced == aRight.replaced && aLeft.ends == aRight.ends;
}

term_history
Merge(const term_history& aOlder, const term_history& aNewer)
{
  auto merged = aNewer;
  for (const auto& one : aOlder.ends) {
    Insert(merged.ends, one, false);
  }
  if (aOlder.replaced > merged.replaced) {
    merged.replaced = aOlder.replaced;
    merged.ordered = aOlder.ordered;
  }
  Compact(merged.ends);
  return merged;
}

std::string
ToText(const term_history& aHistory)
{
  auto text = absl::StrCat("replaced=", aHistory.replaced, " ends=");
  for (const auto& one : aHistory.ends) {
    absl::StrAppend(&text, one.term, ".", one.last, ";");
  }
  return text;
}

} // namespace currantshed::lead

#include "currantshed/load/history.hpp"

#include <iterator>

namespace currantshed::load {

namespace {

template<typename record>
void
MoveTo(std::vector<record>& aTarget, std::vector<record>& aSource)
{
  aTarget.insert(aTarget.end(),
                 std::make_move_iterator(aSource.begin()),
                 std::make_move_iterator(aSource.end()));
  aSource.clear();
}

} // namespace

void
Append(history& aTarget, history&& aSource)
{
  history source = std::move(aSource);
  MoveTo(aTarget.changes, source.changes);
  MoveTo(aTarget.ownReads, source.ownReads);
  MoveTo(aTarget.clockWrites, source.clockWrites);
  MoveTo(aTarget.clockReads, source.clockReads);
  MoveTo(aTarget.tagReads, source.tagReads);
  MoveTo(aTarget.answers, source.answers);
  MoveTo(aTarget.cuts, source.cuts);
  aTarget.activities += source.activities;
  aTarget.missedStarts += source.missedStarts;
}

} // namespace currantshed::load

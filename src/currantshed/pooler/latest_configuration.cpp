#include "currantshed/pooler/latest_configuration.hpp"

namespace currantshed::pooler {

bool
latest_configuration::ApplyIfNewer(const wire::configuration& aOffered)
{
  if (aOffered.version <= mCurrent.version) {
    return false;
  }
  mCurrent = aOffered;
  return true;
}

bool
latest_configuration::HasAny() const noexcept
{
  return mCurrent.version != 0;
}

const wire::configuration&
latest_configuration::Current() const noexcept
{
  return mCurrent;
}

} // namespace currantshed::pooler

#include "currantshed/pooler/configuration_keeper.hpp"

namespace currantshed::pooler {

bool
configuration_keeper::Offer(const wire::configuration& aOffered)
{
  if (aOffered.version <= mHeld.version) {
    return false;
  }
  mHeld = aOffered;
  return true;
}

bool
configuration_keeper::HasAny() const noexcept
{
  return mHeld.version != 0;
}

const wire::configuration&
configuration_keeper::Held() const noexcept
{
  return mHeld;
}

} // namespace currantshed::pooler

#include "currantshed/pooler/listing_keeper.hpp"

#include <utility>

namespace currantshed::pooler {

bool
listing_keeper::Take(store::listing aListing)
{
  const bool differs = !mHasAny || aListing.groups != mHeld.groups;
  mHasAny = true;
  mHeld = std::move(aListing);
  return differs;
}

} // namespace currantshed::pooler

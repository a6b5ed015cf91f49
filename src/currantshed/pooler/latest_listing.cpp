#include "currantshed/pooler/latest_listing.hpp"

#include <utility>

namespace currantshed::pooler {

bool
latest_listing::Update(store::listing aListing)
{
  const bool differs = !mHasAny || aListing.groups != mCurrent.groups;
  mHasAny = true;
  mCurrent = std::move(aListing);
  return differs;
}

} // namespace currantshed::pooler

#ifndef CURRANTSHED_POOLER_LATEST_LISTING_HPP
#define CURRANTSHED_POOLER_LATEST_LISTING_HPP

#include "currantshed/pooler/fwd.hpp"
#include "currantshed/store/client.hpp"

namespace currantshed::pooler {

/// The platform's latest listing of VMs and groups, read by this process or
/// received from a peer. Most reads return an unchanged listing, and computing
/// the owners of every group is expensive in a large fleet, so each new listing
/// is compared with the previous one.
class latest_listing
{
public:
  /// Replaces the listing; returns whether its groups differ from the previous
  /// ones, which is always true of the first listing.
  bool Update(store::listing aListing);

  /// Whether a listing has been received.
  [[nodiscard]] bool HasAny() const noexcept { return mHasAny; }

  /// The latest listing; empty before the first one.
  [[nodiscard]] const store::listing& Current() const noexcept
  {
    return mCurrent;
  }

private:
  bool mHasAny = false;
  store::listing mCurrent;
};

} // namespace currantshed::pooler

#endif

#ifndef CURRANTSHED_POOLER_LATEST_LISTING_HPP
#define CURRANTSHED_POOLER_LATEST_LISTING_HPP

#include "currantshed/pooler/fwd.hpp"
#include "currantshed/store/client.hpp"

namespace currantshed::pooler {

/// The platform's lists as they were read last, by this process or by a peer.
/// Most readings bring nothing new, and working out the owners of every group
/// is dear in a large fleet: so each reading is compared with the last one.
class latest_listing
{
public:
  /// Takes a reading over; whether its groups differ from those held, which
  /// the first reading always does.
  bool Update(store::listing aListing);

  /// Whether any reading is held.
  [[nodiscard]] bool HasAny() const noexcept { return mHasAny; }

  /// The last reading, or empty lists.
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

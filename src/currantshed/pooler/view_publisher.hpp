#ifndef CURRANTSHED_POOLER_VIEW_PUBLISHER_HPP
#define CURRANTSHED_POOLER_VIEW_PUBLISHER_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/pooler/fwd.hpp"
#include "currantshed/wire/codec.hpp"

namespace currantshed::pooler {

/// Determines which view is sent to which gateway: to each new subscriber at
/// once, and to all subscribers on every change. The declaration, which may be
/// large, is only included for subscribers that have reported an older version.
class view_publisher
{
public:
  /// A view for one peer, identified by its ZeroMQ routing id.
  struct delivery
  {
    std::string peer;
    wire::view view;
  };

  /// Views are numbered from above the given version, which must exceed every
  /// version published by an earlier incarnation of this process.
  explicit view_publisher(std::uint64_t aFirstVersion);

  /// Sets the current view. The version set in the argument is ignored.
  [[nodiscard]] std::vector<delivery> SetView(wire::view aView);

  /// Adds or renews a subscription, which expires unless renewed.
  [[nodiscard]] std::vector<delivery> Subscribe(
    const std::string& aPeer,
    const wire::subscribe_request& aRequest,
    clock::time_point aNow);

  /// Removes subscriptions that have expired.
  void RemoveExpired(clock::time_point aNow);

  [[nodiscard]] std::size_t Subscribers() const noexcept;

private:
  struct subscriber
  {
    std::uint64_t configurationVersion = 0;
    clock::time_point renewedAt;
  };

  [[nodiscard]] delivery Deliver(const std::string& aPeer,
                                 subscriber& aSubscriber) const;

  bool mHasView = false;
  wire::view mView;
  absl::btree_map<std::string, subscriber> mSubscribers;
};

/// Lifetime of a subscription that is not renewed.
constexpr std::chrono::seconds kSubscriptionTtl{ 30 };
/// Maximum number of subscribers; there are few gateways on one VM.
constexpr std::size_t kMaxSubscribers = 64;

} // namespace currantshed::pooler

#endif

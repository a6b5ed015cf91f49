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

/// Decides which gateway gets which view, and when: each subscriber at once,
/// and again with every change. A declaration goes only to those that have
/// told of an older one, since it may be long.
class view_publisher
{
public:
  /// One view for one peer, by its name at the socket.
  struct delivery
  {
    std::string peer;
    wire::view view;
  };

  /// Versions of views begin above the given one, which is above all that an
  /// earlier life of this process has given.
  explicit view_publisher(std::uint64_t aFirstVersion);

  /// Takes the present view, whose own version counts for nothing.
  [[nodiscard]] std::vector<delivery> SetView(wire::view aView);

  /// Takes a subscription, which holds for a while; a gateway renews it.
  [[nodiscard]] std::vector<delivery> Subscribe(
    const std::string& aPeer,
    const wire::subscribe_request& aRequest,
    clock::time_point aNow);

  /// Ends subscriptions that were not renewed.
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

/// How long a subscription holds without being renewed.
constexpr std::chrono::seconds kSubscriptionTtl{ 30 };
/// Most subscribers at a time; there are few gateways on one VM.
constexpr std::size_t kMaxSubscribers = 64;

} // namespace currantshed::pooler

#endif

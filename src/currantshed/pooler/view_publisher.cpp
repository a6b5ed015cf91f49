#include "currantshed/pooler/view_publisher.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::pooler {

view_publisher::view_publisher(std::uint64_t aFirstVersion)
{
  mView.version = aFirstVersion;
}

std::vector<view_publisher::delivery>
view_publisher::SetView(wire::view aView)
{
  aView.version = mView.version;
  if (mHasView && aView == mView) {
    return {};
  }
  mHasView = true;
  mView = std::move(aView);
  ++mView.version;
  std::vector<delivery> deliveries;
  for (auto& [peer, subscriber] : mSubscribers) {
    deliveries.push_back(Deliver(peer, subscriber));
  }
  return deliveries;
}

std::vector<view_publisher::delivery>
view_publisher::Subscribe(const std::string& aPeer,
                          const wire::subscribe_request& aRequest,
                          clock::time_point aNow)
{
  const bool isNew = !mSubscribers.contains(aPeer);
  if (isNew && mSubscribers.size() >= kMaxSubscribers) {
    return {};
  }
  subscriber& subscriber = mSubscribers[aPeer];
  subscriber.configurationVersion = aRequest.configurationVersion;
  subscriber.renewedAt = aNow;
  if (!mHasView) {
    return {};
  }
  return { Deliver(aPeer, subscriber) };
}

void
view_publisher::RemoveExpired(clock::time_point aNow)
{
  for (auto entry = mSubscribers.begin(); entry != mSubscribers.end();) {
    const bool isOver = aNow - entry->second.renewedAt > kSubscriptionTtl;
    entry = isOver ? mSubscribers.erase(entry) : std::next(entry);
  }
}

std::size_t
view_publisher::Subscribers() const noexcept
{
  return mSubscribers.size();
}

view_publisher::delivery
view_publisher::Deliver(const std::string& aPeer, subscriber& aSubscriber) const
{
  delivery made{ aPeer, mView };
  if (aSubscriber.configurationVersion >= mView.configurationVersion) {
    made.view.declaration.clear();
  }
  // A lost delivery is recovered by the next subscription, which reports the
  // version that the gateway actually has.
  aSubscriber.configurationVersion =
    std::max(aSubscriber.configurationVersion, mView.configurationVersion);
  return made;
}

} // namespace currantshed::pooler

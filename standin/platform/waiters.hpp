#ifndef CURRANTSHED_STANDIN_PLATFORM_WAITERS_HPP
#define CURRANTSHED_STANDIN_PLATFORM_WAITERS_HPP

#include <string>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/steady_timer.hpp>

namespace currantshed::standin {

/// The calls that are waiting. Each has a timer; waking a call expires its
/// timer, which also works if the call starts to wait afterwards.
class waiters
{
public:
  /// Keeps one call in the list for the lifetime of this object.
  class registration
  {
  public:
    registration(waiters& aList,
                 boost::asio::steady_timer& aTimer,
                 const std::string& aKey)
      : mList(aList)
      , mTimer(aTimer)
    {
      mList.mWaiting.emplace(&mTimer, aKey);
    }
    registration(const registration&) = delete;
    registration(registration&&) = delete;
    registration& operator=(const registration&) = delete;
    registration& operator=(registration&&) = delete;
    ~registration() { mList.mWaiting.erase(&mTimer); }

  private:
    waiters& mList;
    boost::asio::steady_timer& mTimer;
  };

  /// Wakes the calls that wait for a key.
  void Wake(const std::string& aKey)
  {
    for (auto& [timer, key] : mWaiting) {
      if (key == aKey) {
        timer->expires_at(boost::asio::steady_timer::time_point::min());
      }
    }
  }

  void WakeAll()
  {
    for (auto& [timer, key] : mWaiting) {
      timer->expires_at(boost::asio::steady_timer::time_point::min());
    }
  }

  [[nodiscard]] std::size_t Size() const { return mWaiting.size(); }

private:
  absl::flat_hash_map<boost::asio::steady_timer*, std::string> mWaiting;
};

} // namespace currantshed::standin

#endif

#ifndef CURRANTSHED_NET_TICK_TIMER_HPP
#define CURRANTSHED_NET_TICK_TIMER_HPP

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "currantshed/clock/time.hpp"
#include "currantshed/net/fwd.hpp"

namespace currantshed::net {

/// Drives a state machine's Tick from its NextTick. The timer is rearmed only
/// for a deadline earlier than the pending one, so that a busy state machine
/// does not rearm it on every event. A Tick may therefore come early, which is
/// harmless.
class tick_timer
{
public:
  /// aTick is called on the io_context's thread and is expected to call
  /// ScheduleAt again.
  tick_timer(boost::asio::io_context& aContext, std::function<void()> aTick);
  tick_timer(const tick_timer&) = delete;
  tick_timer& operator=(const tick_timer&) = delete;
  ~tick_timer();

  /// Schedules a tick at the given time or earlier.
  void ScheduleAt(clock::time_point aDue);

  /// Cancels the pending tick.
  void Stop();

private:
  void Wait();

  boost::asio::steady_timer mTimer;
  std::function<void()> mTick;
  clock::time_point mDue = clock::time_point::max();
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace currantshed::net

#endif

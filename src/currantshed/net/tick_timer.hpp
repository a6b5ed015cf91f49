#ifndef CURRANTSHED_NET_TICK_TIMER_HPP
#define CURRANTSHED_NET_TICK_TIMER_HPP

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "currantshed/clock/time.hpp"
#include "currantshed/net/fwd.hpp"

namespace currantshed::net {

/// Drives a state machine's Tick from its NextTick. The timer is set again
/// only when a time comes before the one it waits for, so that a busy machine
/// doesn't set it at each event; a Tick that comes too early does no harm.
class tick_timer
{
public:
  /// aTick is called on the io_context's thread; it calls At again.
  tick_timer(boost::asio::io_context& aContext, std::function<void()> aTick);
  tick_timer(const tick_timer&) = delete;
  tick_timer& operator=(const tick_timer&) = delete;
  ~tick_timer();

  /// Asks for a tick at this time at the latest.
  void ScheduleAt(clock::time_point aDue);

  /// Asks for no tick any more.
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

#include "currantshed/net/tick_timer.hpp"

#include <utility>

namespace currantshed::net {

tick_timer::tick_timer(boost::asio::io_context& aContext,
                       std::function<void()> aTick)
  : mTimer(aContext)
  , mTick(std::move(aTick))
{
}

tick_timer::~tick_timer()
{
  *mAlive = false;
}

void
tick_timer::ScheduleAt(clock::time_point aDue)
{
  if (aDue >= mDue) {
    return;
  }
  mDue = aDue;
  Wait();
}

void
tick_timer::Stop()
{
  mDue = clock::time_point::max();
  mTimer.cancel();
}

void
tick_timer::Wait()
{
  mTimer.expires_at(mDue);
  mTimer.async_wait(
    [this, alive = mAlive](const boost::system::error_code& aError) {
      if (aError || !*alive) {
        return;
      }
      mDue = clock::time_point::max();
      mTick();
    });
}

} // namespace currantshed::net

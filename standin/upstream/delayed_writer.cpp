#include "standin/upstream/delayed_writer.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/write.hpp>

namespace currantshed::standin::postgres {

namespace {

using boost::system::error_code;

} // namespace

delayed_writer::delayed_writer(boost::asio::ip::tcp::socket& aSocket)
  : mSocket(aSocket)
  , mTimer(aSocket.get_executor())
{
}

void
delayed_writer::Send(const std::shared_ptr<void>& aOwner,
                     std::string aBytes,
                     clock::duration aDelay)
{
  if (mFrozen || aBytes.empty()) {
    return;
  }
  mQueued += aBytes.size();
  const auto due = aDelay == clock::duration::zero()
                     ? clock::time_point{}
                     : std::chrono::steady_clock::now() + aDelay;
  mChunks.push_back({ due, std::move(aBytes) });
  Pump(aOwner);
}

void
delayed_writer::Freeze()
{
  mFrozen = true;
  mChunks.clear();
  mTimer.cancel();
}

void
delayed_writer::OnWritten(std::function<void()> aWritten)
{
  mWritten = std::move(aWritten);
}

std::size_t
delayed_writer::Queued() const noexcept
{
  return mQueued;
}

void
delayed_writer::Pump(const std::shared_ptr<void>& aOwner)
{
  if (mBusy || mFrozen || mChunks.empty()) {
    return;
  }
  const auto due = mChunks.front().due;
  if (due != clock::time_point{} && due > std::chrono::steady_clock::now()) {
    WaitUntil(due, aOwner);
    return;
  }
  mCurrent = std::move(mChunks.front().bytes);
  mChunks.pop_front();
  Write(aOwner);
}

void
delayed_writer::WaitUntil(clock::time_point aDue,
                          const std::shared_ptr<void>& aOwner)
{
  mBusy = true;
  mTimer.expires_at(aDue);
  mTimer.async_wait([this, aOwner](error_code aError) {
    mBusy = false;
    if (!aError) {
      Pump(aOwner);
    }
  });
}

void
delayed_writer::Write(const std::shared_ptr<void>& aOwner)
{
  mBusy = true;
  boost::asio::async_write(
    mSocket,
    boost::asio::buffer(mCurrent),
    [this, aOwner](error_code aError, std::size_t /*aBytes*/) {
      mBusy = false;
      mQueued -= std::min(mQueued, mCurrent.size());
      mCurrent.clear();
      if (aError) {
        Freeze();
      }
      Pump(aOwner);
      if (mWritten) {
        mWritten();
      }
    });
}

} // namespace currantshed::standin::postgres

#include "standin/proxy/tunnel.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/write.hpp>

namespace currantshed::standin::proxy {

namespace {

using std::chrono::milliseconds;

// Interval at which held data is checked for whether it may be forwarded.
constexpr milliseconds kHoldPollInterval{ 10 };

struct named_fault
{
  std::string_view name;
  fault what;
};

constexpr named_fault kNames[] = {
  { "pass", fault::kNone },
  { "delay", fault::kDelay },
  { "pace", fault::kPace },
  { "hold", fault::kHold },
  { "hold_answers", fault::kHoldAnswers },
  { "silence", fault::kSilence },
  { "reset", fault::kReset },
};

} // namespace

std::optional<fault>
FindFault(std::string_view aName)
{
  for (const auto& one : kNames) {
    if (one.name == aName) {
      return one.what;
    }
  }
  return std::nullopt;
}

connection_pair::connection_pair(boost::asio::io_context& aContext,
                                 const condition& aCondition,
                                 paced_link& aLink,
                                 tcp::socket aClient)
  : mCondition(aCondition)
  , mLink(aLink)
  , mClient(std::move(aClient))
  , mServer(aContext)
  , mToTarget(aContext, false)
  , mFromTarget(aContext, true)
{
}

void
connection_pair::Start(std::uint16_t aTarget)
{
  const tcp::endpoint target(boost::asio::ip::address_v4::loopback(), aTarget);
  mServer.async_connect(
    target,
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (aError) {
        self->Reset();
        return;
      }
      self->Read(self->mClient, self->mServer, self->mToTarget);
      self->Read(self->mServer, self->mClient, self->mFromTarget);
    });
}

void
connection_pair::Reset()
{
  boost::system::error_code ignored;
  const boost::asio::socket_base::linger atOnce(true, 0);
  mClient.set_option(atOnce, ignored);
  mServer.set_option(atOnce, ignored);
  Close();
}

void
connection_pair::Close()
{
  boost::system::error_code ignored;
  mIsOpen = false;
  mClient.close(ignored);
  mServer.close(ignored);
}

void
connection_pair::Read(tcp::socket& aFrom,
                      tcp::socket& aTo,
                      direction& aDirection)
{
  aFrom.async_read_some(
    boost::asio::buffer(aDirection.bytes),
    [self = shared_from_this(), &aFrom, &aTo, &aDirection](
      const boost::system::error_code& aError, std::size_t aSize) {
      if (aError) {
        self->Close();
        return;
      }
      aDirection.timer.expires_at(self->ForwardAt(aDirection, aSize));
      aDirection.timer.async_wait([self, &aFrom, &aTo, &aDirection, aSize](
                                    const boost::system::error_code&) {
        self->Forward(aFrom, aTo, aDirection, aSize);
      });
    });
}

// When data that have just arrived are passed on.
std::chrono::steady_clock::time_point
connection_pair::ForwardAt(const direction& aDirection, std::size_t aSize)
{
  const auto now = std::chrono::steady_clock::now();
  if (mCondition.now == fault::kPace && aDirection.answers) {
    mLink.freeAt = std::max(mLink.freeAt, now) +
                   mCondition.timePerByte * static_cast<std::int64_t>(aSize);
    return mLink.freeAt;
  }
  return mCondition.now == fault::kDelay ? now + mCondition.delay : now;
}

void
connection_pair::Forward(tcp::socket& aFrom,
                         tcp::socket& aTo,
                         direction& aDirection,
                         std::size_t aSize)
{
  if (!mIsOpen || mIsSilent) {
    return;
  }
  if (IsHeld(aDirection)) {
    aDirection.wasHeld = true;
    aDirection.timer.expires_after(kHoldPollInterval);
    aDirection.timer.async_wait(
      [self = shared_from_this(), &aFrom, &aTo, &aDirection, aSize](
        const boost::system::error_code&) {
        self->Forward(aFrom, aTo, aDirection, aSize);
      });
    return;
  }
  if (std::exchange(aDirection.wasHeld, false) && IsReset(aFrom)) {
    Close();
    return;
  }
  boost::asio::async_write(
    aTo,
    boost::asio::buffer(aDirection.bytes.data(), aSize),
    [self = shared_from_this(), &aFrom, &aTo, &aDirection](
      const boost::system::error_code& aError, std::size_t) {
      if (aError) {
        self->Close();
        return;
      }
      self->Read(aFrom, aTo, aDirection);
    });
}

// Bytes that a cut path holds up are lost if their sender resets the
// connection.
bool
connection_pair::IsReset(tcp::socket& aFrom)
{
  boost::system::error_code error;
  char byte = 0;
  aFrom.non_blocking(true, error);
  aFrom.receive(
    boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == boost::asio::error::connection_reset;
}

bool
connection_pair::IsHeld(const direction& aDirection) const noexcept
{
  return mCondition.now == fault::kHold ||
         (mCondition.now == fault::kHoldAnswers && aDirection.answers);
}

tunnel::tunnel(boost::asio::io_context& aContext,
               std::uint16_t aPort,
               std::uint16_t aTarget)
  : mContext(aContext)
  , mAcceptor(aContext,
              tcp::endpoint(boost::asio::ip::address_v4::loopback(), aPort))
  , mPort(aPort)
  , mTarget(aTarget)
{
  Accept();
}

void
tunnel::Accept()
{
  mAcceptor.async_accept(
    [this](const boost::system::error_code& aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      std::erase_if(mConnections,
                    [](const auto& aOne) { return !aOne->IsOpen(); });
      mConnections.push_back(std::make_shared<connection_pair>(
        mContext, mCondition, mLink, std::move(aSocket)));
      mConnections.back()->Start(mTarget);
      Accept();
    });
}

void
tunnel::SetCondition(const condition& aCondition)
{
  const bool isOnce =
    aCondition.now == fault::kSilence || aCondition.now == fault::kReset;
  mCondition = isOnce ? condition{} : aCondition;
  for (const auto& one : mConnections) {
    if (aCondition.now == fault::kSilence) {
      one->Silence();
    } else if (aCondition.now == fault::kReset) {
      one->Reset();
    }
  }
}

} // namespace currantshed::standin::proxy

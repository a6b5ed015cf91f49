#include "standin/proxy/tunnel.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/write.hpp>

namespace currantshed::standin::proxy {

namespace {

using std::chrono::milliseconds;

// Interval at which held data is checked for whether it may be forwarded.
constexpr milliseconds kLook{ 10 };

struct named_fault
{
  std::string_view name;
  fault what;
};

constexpr named_fault kNames[] = {
  { "pass", fault::kNone },       { "delay", fault::kDelay },
  { "hold", fault::kHold },       { "hold_answers", fault::kHoldAnswers },
  { "silence", fault::kSilence }, { "reset", fault::kReset },
};

} // namespace

std::optional<fault>
FaultNamed(std::string_view aName)
{
  for (const auto& one : kNames) {
    if (one.name == aName) {
      return one.what;
    }
  }
  return std::nullopt;
}

pair::pair(boost::asio::io_context& aContext,
           const condition& aCondition,
           tcp::socket aNear)
  : mCondition(aCondition)
  , mNear(std::move(aNear))
  , mFar(aContext)
  , mThere(aContext, false)
  , mBack(aContext, true)
{
}

void
pair::Start(std::uint16_t aTarget)
{
  const tcp::endpoint target(boost::asio::ip::address_v4::loopback(), aTarget);
  mFar.async_connect(
    target,
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (aError) {
        self->Reset();
        return;
      }
      self->Read(self->mNear, self->mFar, self->mThere);
      self->Read(self->mFar, self->mNear, self->mBack);
    });
}

void
pair::Reset()
{
  boost::system::error_code ignored;
  const boost::asio::socket_base::linger atOnce(true, 0);
  mNear.set_option(atOnce, ignored);
  mFar.set_option(atOnce, ignored);
  Close();
}

void
pair::Close()
{
  boost::system::error_code ignored;
  mIsOpen = false;
  mNear.close(ignored);
  mFar.close(ignored);
}

void
pair::Read(tcp::socket& aFrom, tcp::socket& aTo, direction& aWay)
{
  aFrom.async_read_some(
    boost::asio::buffer(aWay.bytes),
    [self = shared_from_this(), &aFrom, &aTo, &aWay](
      const boost::system::error_code& aError, std::size_t aSize) {
      if (aError) {
        self->Close();
        return;
      }
      const bool isDelayed = self->mCondition.now == fault::kDelay;
      aWay.timer.expires_after(isDelayed ? self->mCondition.delay
                                         : milliseconds{ 0 });
      aWay.timer.async_wait(
        [self, &aFrom, &aTo, &aWay, aSize](const boost::system::error_code&) {
          self->PassOn(aFrom, aTo, aWay, aSize);
        });
    });
}

void
pair::PassOn(tcp::socket& aFrom,
             tcp::socket& aTo,
             direction& aWay,
             std::size_t aSize)
{
  if (!mIsOpen || mIsSilent) {
    return;
  }
  if (IsHeld(aWay)) {
    aWay.timer.expires_after(kLook);
    aWay.timer.async_wait(
      [self = shared_from_this(), &aFrom, &aTo, &aWay, aSize](
        const boost::system::error_code&) {
        self->PassOn(aFrom, aTo, aWay, aSize);
      });
    return;
  }
  boost::asio::async_write(
    aTo,
    boost::asio::buffer(aWay.bytes.data(), aSize),
    [self = shared_from_this(), &aFrom, &aTo, &aWay](
      const boost::system::error_code& aError, std::size_t) {
      if (aError) {
        self->Close();
        return;
      }
      self->Read(aFrom, aTo, aWay);
    });
}

bool
pair::IsHeld(const direction& aWay) const noexcept
{
  return mCondition.now == fault::kHold ||
         (mCondition.now == fault::kHoldAnswers && aWay.answers);
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
      std::erase_if(mPairs, [](const auto& aOne) { return !aOne->IsOpen(); });
      mPairs.push_back(
        std::make_shared<pair>(mContext, mCondition, std::move(aSocket)));
      mPairs.back()->Start(mTarget);
      Accept();
    });
}

void
tunnel::Put(const condition& aCondition)
{
  const bool isOnce =
    aCondition.now == fault::kSilence || aCondition.now == fault::kReset;
  mCondition = isOnce ? condition{} : aCondition;
  for (const auto& one : mPairs) {
    if (aCondition.now == fault::kSilence) {
      one->Silence();
    } else if (aCondition.now == fault::kReset) {
      one->Reset();
    }
  }
}

} // namespace currantshed::standin::proxy

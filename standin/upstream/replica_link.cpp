#include "standin/upstream/replica_link.hpp"

#include <chrono>
#include <utility>

#include "standin/upstream/feed.hpp"
#include "standin/upstream/server.hpp"

namespace currantshed::standin::postgres {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds kRetryInterval{ 30 };

} // namespace

replica_link::replica_link(server& aServer,
                           term_id aTerm,
                           primary_address aPrimary)
  : mServer(aServer)
  , mTerm(aTerm)
  , mPrimary(std::move(aPrimary))
  , mSocket(aServer.Context())
  , mWriter(mSocket)
  , mRetryTimer(aServer.Context())
  , mStoreTimer(aServer.Context())
{
}

void
replica_link::Start()
{
  Connect();
}

void
replica_link::Close()
{
  mClosed = true;
  Break();
  mRetryTimer.cancel();
}

void
replica_link::Break()
{
  error_code ignored;
  mWriter.Freeze();
  mSocket.close(ignored);
  mStoreTimer.cancel();
  mWaiting.clear();
  mInput.clear();
  mConnected = false;
  mStarted = false;
}

void
replica_link::Retry()
{
  Break();
  if (mClosed) {
    return;
  }
  mRetryTimer.expires_after(kRetryInterval);
  mRetryTimer.async_wait([self = shared_from_this()](error_code aError) {
    if (!aError && !self->mClosed) {
      self->mServer.FollowPrimary();
    }
  });
}

void
replica_link::Connect()
{
  error_code error;
  const auto address = boost::asio::ip::make_address(mPrimary.address, error);
  if (error || mServer.Faults().CutsReplication()) {
    Retry();
    return;
  }
  mSocket.async_connect({ address, mPrimary.port },
                        [self = shared_from_this()](error_code aError) {
                          if (aError || self->mClosed) {
                            self->Retry();
                          } else {
                            self->Greet();
                          }
                        });
}

void
replica_link::Greet()
{
  error_code ignored;
  mSocket.set_option(tcp::no_delay(true), ignored);
  mConnected = true;
  mWriter.Send(shared_from_this(),
               EncodeHello({ mTerm, mServer.Data().Log().Summary() }),
               mServer.Settings().linkDelay);
  Read();
}

void
replica_link::Read()
{
  mSocket.async_read_some(
    boost::asio::buffer(mChunk),
    [self = shared_from_this()](error_code aError, std::size_t aSize) {
      if (self->mClosed) {
        return;
      }
      self->mInput.append(self->mChunk.data(), aSize);
      if (aError || !self->mConnected || !self->TakeMessages()) {
        self->Retry();
        return;
      }
      self->Read();
    });
}

bool
replica_link::TakeMessages()
{
  std::size_t taken = 0;
  message next;
  auto end = message_end::kWhole;
  while (true) {
    const auto rest = std::string_view(mInput).substr(taken);
    end = ReadMessage(rest, false, next);
    if (end != message_end::kWhole) {
      break;
    }
    taken += next.size;
    if (!Take(next)) {
      return false;
    }
  }
  mInput.erase(0, taken);
  return end == message_end::kPartial && StoreDue();
}

// Returns false if the primary violates the protocol, or if this server has
// left the term.
bool
replica_link::Take(const message& aMessage)
{
  if (!mServer.Data().Terms().TakesRecordsOf(mTerm)) {
    return false;
  }
  mServer.Data().HeardFromPrimary(std::chrono::steady_clock::now());
  message_reader reader(aMessage.body);
  if (aMessage.type == replication::kHeartbeat) {
    return mStarted;
  }
  if (aMessage.type == replication::kRecord) {
    return mStarted && TakeRecord(reader, aMessage.body);
  }
  if (aMessage.type != replication::kStart || reader.Int64() != mTerm) {
    return false;
  }
  mStarted = true;
  mServer.Data().Align(reader.Int64());
  mServer.ApplyStored();
  return !reader.Failed();
}

bool
replica_link::TakeRecord(message_reader& aReader, std::string_view aBody)
{
  const auto index = aReader.Int64();
  auto record = DecodeRecord(aBody.substr(sizeof(index)));
  if (!record) {
    return false;
  }
  const auto due =
    std::chrono::steady_clock::now() + mServer.Faults().storeDelay;
  mWaiting.push_back({ due, index, std::move(*record) });
  return true;
}

bool
replica_link::StoreDue()
{
  const auto now = std::chrono::steady_clock::now();
  bool stored = false;
  while (!mWaiting.empty() && mWaiting.front().due <= now) {
    auto& next = mWaiting.front();
    if (next.index != mServer.Data().Log().Last().index + 1 ||
        !mServer.Data().Store(mTerm, std::move(next.record), now)) {
      return false;
    }
    mWaiting.pop_front();
    stored = true;
  }
  if (stored) {
    mServer.ApplyStored();
    Acknowledge();
  }
  WaitToStore();
  return true;
}

void
replica_link::Acknowledge()
{
  std::string bytes;
  message_writer writer(bytes);
  writer.Begin(replication::kStored);
  writer.Int64(mServer.Data().Log().Last().index);
  writer.End();
  mWriter.Send(
    shared_from_this(), std::move(bytes), mServer.Settings().linkDelay);
}

void
replica_link::WaitToStore()
{
  if (mWaiting.empty()) {
    return;
  }
  mStoreTimer.expires_at(mWaiting.front().due);
  mStoreTimer.async_wait([self = shared_from_this()](error_code aError) {
    if (!aError && self->mConnected && !self->StoreDue()) {
      self->mSocket.close();
    }
  });
}

} // namespace currantshed::standin::postgres

#include "standin/upstream/feed.hpp"

#include <utility>

#include "standin/upstream/server.hpp"
#include "standin/upstream/session.hpp"
#include "standin/upstream/wire.hpp"

namespace currantshed::standin::postgres {

namespace {

using boost::system::error_code;

// Limit of unacknowledged bytes in flight to one replica.
constexpr std::size_t kWindow = std::size_t{ 4 } << 20U;
constexpr std::size_t kBatchSize = std::size_t{ 256 } << 10U;

} // namespace

std::string
EncodeHello(const replica_hello& aHello)
{
  std::string bytes;
  message_writer writer(bytes);
  writer.Int32(kReplicationCode);
  writer.Int64(aHello.term);
  writer.Int32(static_cast<std::int32_t>(aHello.summary.runs.size()));
  for (const auto& run : aHello.summary.runs) {
    writer.Int64(run.term);
    writer.Int64(run.first);
  }
  writer.Int64(aHello.summary.last);
  std::string framed;
  message_writer frame(framed);
  frame.Int32(static_cast<std::int32_t>(bytes.size() + sizeof(std::int32_t)));
  return framed + bytes;
}

std::optional<replica_hello>
DecodeHello(std::string_view aBytes)
{
  message_reader reader(aBytes);
  replica_hello hello;
  hello.term = reader.Int64();
  const auto runs = reader.Int32();
  for (std::int32_t index = 0; index < runs && !reader.Failed(); ++index) {
    const auto term = reader.Int64();
    hello.summary.runs.push_back({ term, reader.Int64() });
  }
  hello.summary.last = reader.Int64();
  if (reader.Failed() || (hello.summary.last > 0 && runs <= 0)) {
    return std::nullopt;
  }
  return hello;
}

feed::feed(server& aServer, boost::asio::ip::tcp::socket aSocket)
  : mServer(aServer)
  , mSocket(std::move(aSocket))
  , mWriter(mSocket)
{
}

void
feed::Start(const replica_hello& aHello)
{
  error_code ignored;
  mSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const auto& log = mServer.Data().Log();
  const auto common = CommonPrefix(log.Summary(), aHello.summary);
  mNext = common + 1;
  mStored = common;
  mWriter.OnWritten([this] { Pump(); });
  std::string bytes;
  message_writer writer(bytes);
  writer.Begin(replication::kStart);
  writer.Int64(aHello.term);
  writer.Int64(common);
  writer.End();
  Send(std::move(bytes));
  Read();
  Pump();
}

void
feed::Pump()
{
  const auto& log = mServer.Data().Log();
  while (!mClosed && mNext <= log.Last().index && mWriter.Queued() < kWindow) {
    std::string bytes;
    message_writer writer(bytes);
    while (mNext <= log.Last().index && bytes.size() < kBatchSize) {
      writer.Begin(replication::kRecord);
      writer.Int64(mNext);
      EncodeRecord(log.At(mNext), bytes);
      writer.End();
      ++mNext;
    }
    Send(std::move(bytes));
  }
}

void
feed::Beat()
{
  std::string bytes;
  message_writer writer(bytes);
  writer.Begin(replication::kHeartbeat);
  writer.End();
  Send(std::move(bytes));
}

void
feed::Close()
{
  if (std::exchange(mClosed, true)) {
    return;
  }
  error_code ignored;
  mWriter.Freeze();
  mSocket.close(ignored);
  mServer.Leave(shared_from_this());
}

log_index
feed::Stored() const noexcept
{
  return mStored;
}

void
feed::Read()
{
  mSocket.async_read_some(
    boost::asio::buffer(mChunk),
    [self = shared_from_this()](error_code aError, std::size_t aSize) {
      if (self->mClosed) {
        return;
      }
      self->mInput.append(self->mChunk.data(), aSize);
      if (aError || !self->TakeMessages()) {
        self->Close();
        return;
      }
      self->Read();
    });
}

bool
feed::TakeMessages()
{
  message next;
  while (true) {
    const auto end = ReadMessage(mInput, false, next);
    if (end != message_end::kWhole) {
      return end == message_end::kPartial;
    }
    message_reader reader(next.body);
    if (next.type == replication::kStored) {
      mStored = reader.Int64();
    }
    mInput.erase(0, next.size);
  }
}

void
feed::Send(std::string aBytes)
{
  mWriter.Send(
    shared_from_this(), std::move(aBytes), mServer.Settings().linkDelay);
}

} // namespace currantshed::standin::postgres

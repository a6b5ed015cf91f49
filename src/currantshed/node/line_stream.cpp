#include "currantshed/node/line_stream.hpp"

#include <array>
#include <utility>

#include "currantshed/net/tcp_options.hpp"
#include "currantshed/node/internal/idle_buffer.hpp"

namespace currantshed::node {

namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::size_t kReadBytes = std::size_t{ 64 } * 1024;

std::array<char, kReadBytes>&
ReadBuffer()
{
  thread_local std::array<char, kReadBytes> sBuffer;
  return sBuffer;
}

} // namespace

line_stream::line_stream(tcp::socket aSocket, std::size_t aMaxBytes)
  : mSocket(std::move(aSocket))
  , mSplitter(aMaxBytes)
{
}

void
line_stream::Start(listener aListener)
{
  mListener = std::move(aListener);
  boost::system::error_code ignored;
  mSocket.non_blocking(true, ignored);
  net::SetTcpOptions(mSocket.native_handle());
  WaitToRead();
}

void
line_stream::Connect(const tcp::endpoint& aTo, std::function<void(bool)> aDone)
{
  mSocket.async_connect(aTo,
                        [self = shared_from_this(), done = std::move(aDone)](
                          const boost::system::error_code& aError) {
                          if (aError != boost::asio::error::operation_aborted) {
                            done(!aError);
                          }
                        });
}

void
line_stream::Send(std::string_view aBytes)
{
  if (!mSocket.is_open() || mClosesWhenSent) {
    return;
  }
  if (!mOut.empty()) {
    mOut.append(aBytes);
    return;
  }
  boost::system::error_code error;
  const auto sent =
    mSocket.send(boost::asio::buffer(aBytes.data(), aBytes.size()), 0, error);
  // The next read reports the error and handles it.
  const auto taken = error ? 0 : sent;
  if (taken < aBytes.size() &&
      (!error || error == boost::asio::error::would_block)) {
    mOut.assign(aBytes.substr(taken));
    WaitToWrite();
  }
}

bool
line_stream::HasUnread() const
{
  boost::system::error_code ignored;
  return mSplitter.HasRest() || mSocket.available(ignored) > 0;
}

void
line_stream::Close()
{
  mListener = {};
  boost::system::error_code ignored;
  mSocket.close(ignored);
}

void
line_stream::CloseWhenSent()
{
  if (mOut.empty()) {
    Close();
    return;
  }
  mClosesWhenSent = true;
}

void
line_stream::WaitToRead()
{
  mSocket.async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (aError || !self->mSocket.is_open()) {
        return;
      }
      self->Read();
    });
}

void
line_stream::Read()
{
  auto& buffer = ReadBuffer();
  boost::system::error_code error;
  const auto count = mSocket.receive(boost::asio::buffer(buffer), 0, error);
  if (error == boost::asio::error::would_block) {
    WaitToRead();
    return;
  }
  if (error || count == 0) {
    End();
    return;
  }
  if (!mClosesWhenSent) {
    ProcessLines({ buffer.data(), count });
  }
  if (mSocket.is_open()) {
    WaitToRead();
  }
}

void
line_stream::ProcessLines(std::string_view aBytes)
{
  // The listener may close the stream, which destroys the listener.
  const auto line = mListener.line;
  const auto tooLong = mListener.tooLong;
  mSplitter.Add(aBytes);
  while (mSocket.is_open() && !mClosesWhenSent) {
    const auto next = mSplitter.Next();
    if (!next) {
      return;
    }
    if (!next->isTooLong) {
      line(next->text);
    } else if (tooLong) {
      tooLong();
    } else {
      End();
    }
  }
  mSplitter.Clear();
}

void
line_stream::WaitToWrite()
{
  if (mIsWriting) {
    return;
  }
  mIsWriting = true;
  mSocket.async_wait(
    tcp::socket::wait_write,
    [self = shared_from_this()](const boost::system::error_code& aError) {
      self->mIsWriting = false;
      if (!aError && self->mSocket.is_open()) {
        self->Flush();
      }
    });
}

void
line_stream::Flush()
{
  boost::system::error_code error;
  const auto sent = mSocket.send(boost::asio::buffer(mOut), 0, error);
  if (error && error != boost::asio::error::would_block) {
    End();
    return;
  }
  mOut.erase(0, error ? 0 : sent);
  if (!mOut.empty()) {
    WaitToWrite();
    return;
  }
  internal::EmptyBuffer(mOut);
  if (mClosesWhenSent) {
    Close();
  }
}

void
line_stream::End()
{
  const auto ended = std::move(mListener.ended);
  Close();
  if (ended) {
    ended();
  }
}

} // namespace currantshed::node

#include "currantshed/node/line_stream.hpp"

#include <array>
#include <utility>

#include "currantshed/net/tcp_options.hpp"

namespace currantshed::node {

namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::size_t kReadBytes = std::size_t{ 64 } * 1024;

// Parts and queues that grew beyond this are given back once they are empty.
constexpr std::size_t kKeptBytes = 4096;

std::array<char, kReadBytes>&
ReadBuffer()
{
  thread_local std::array<char, kReadBytes> sBuffer;
  return sBuffer;
}

void
Clear(std::string& aText)
{
  if (aText.capacity() > kKeptBytes) {
    std::string().swap(aText);
  } else {
    aText.clear();
  }
}

} // namespace

line_stream::line_stream(tcp::socket aSocket)
  : mSocket(std::move(aSocket))
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
  // An error shows again, and is dealt with, when the stream is read.
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
  return !mPart.empty() || mSocket.available(ignored) > 0;
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
    TakeLines({ buffer.data(), count });
  }
  if (mSocket.is_open()) {
    WaitToRead();
  }
}

void
line_stream::TakeLines(std::string_view aBytes)
{
  // The listener may close the stream, and with it drop itself.
  const auto line = mListener.line;
  std::string owned;
  if (!mPart.empty()) {
    owned = std::move(mPart);
    owned.append(aBytes);
    aBytes = owned;
    mPart.clear();
  }
  while (mSocket.is_open()) {
    const auto end = aBytes.find('\n');
    if (end == std::string_view::npos) {
      break;
    }
    auto text = aBytes.substr(0, end);
    if (!text.empty() && text.back() == '\r') {
      text.remove_suffix(1);
    }
    line(text);
    aBytes.remove_prefix(end + 1);
  }
  if (aBytes.size() >= kMaxLineBytes) {
    End();
    return;
  }
  mPart.assign(aBytes);
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
  Clear(mOut);
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

#ifndef CURRANTSHED_NODE_LINE_STREAM_HPP
#define CURRANTSHED_NODE_LINE_STREAM_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace currantshed::node {

/// Longest line that is taken, with its end: what the protocol allows for a
/// message, in bytes.
constexpr std::size_t kMaxLineBytes = std::size_t{ 1 } << 20U;

/// A TCP connection that carries lines. Reads only when there is something,
/// into a buffer that all streams of a thread share, so that an idle stream
/// costs little. Belongs to the thread that runs its io_context.
class line_stream : public std::enable_shared_from_this<line_stream>
{
public:
  struct listener
  {
    std::function<void(std::string_view)> line;
    /// The connection is gone, by the far end or by an error; not called
    /// after Close.
    std::function<void()> ended;
  };

  explicit line_stream(boost::asio::ip::tcp::socket aSocket);

  /// Begins to hand lines over.
  void Start(listener aListener);

  /// Connects, then calls back with whether that worked.
  void Connect(const boost::asio::ip::tcp::endpoint& aTo,
               std::function<void(bool)> aDone);

  /// Sends without waiting; what the connection does not take at once is
  /// kept.
  void Send(std::string_view aBytes);

  /// Bytes that wait to be sent.
  [[nodiscard]] std::size_t Unsent() const noexcept { return mOut.size(); }

  /// Whether bytes have come that were not read yet, or part of a line.
  [[nodiscard]] bool HasUnread() const;

  /// Closes at once.
  void Close();

  /// Closes once all is sent. Lines that come meanwhile are not read.
  void CloseWhenSent();

  [[nodiscard]] bool IsOpen() const { return mSocket.is_open(); }

private:
  void WaitToRead();
  void Read();
  void TakeLines(std::string_view aBytes);
  void WaitToWrite();
  void Flush();
  void End();

  boost::asio::ip::tcp::socket mSocket;
  listener mListener;
  // The beginning of a line whose end has not come yet.
  std::string mPart;
  std::string mOut;
  bool mIsWriting = false;
  bool mClosesWhenSent = false;
};

} // namespace currantshed::node

#endif

#ifndef CURRANTSHED_NODE_LINE_STREAM_HPP
#define CURRANTSHED_NODE_LINE_STREAM_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "currantshed/node/line_splitter.hpp"

namespace currantshed::node {

/// A TCP connection that carries lines. Waits for readability and then reads
/// into a buffer shared by all streams of a thread, so that idle streams need
/// little memory. Must be used on the thread that runs its io_context.
class line_stream : public std::enable_shared_from_this<line_stream>
{
public:
  struct listener
  {
    std::function<void(std::string_view)> line;
    /// Called when the peer closes the connection or an error occurs, but not
    /// after Close.
    std::function<void()> ended;
    /// Called once for a line over the limit, in place of `line`. Without it
    /// the connection ends at such a line.
    std::function<void()> tooLong = {};
  };

  /// Lines have at most aMaxBytes bytes without their end.
  explicit line_stream(boost::asio::ip::tcp::socket aSocket,
                       std::size_t aMaxBytes = kMaxMessageBytes);

  /// Begins to read and to pass lines to the listener.
  void Start(listener aListener);

  /// Connects, then calls back with whether the connection was established.
  void Connect(const boost::asio::ip::tcp::endpoint& aTo,
               std::function<void(bool)> aDone);

  /// Sends without blocking. Bytes that the socket does not accept are
  /// buffered.
  void Send(std::string_view aBytes);

  /// Number of buffered bytes.
  [[nodiscard]] std::size_t Unsent() const noexcept { return mOut.size(); }

  /// Whether there is input that no line passed on so far includes.
  [[nodiscard]] bool HasUnread() const;

  /// Closes immediately.
  void Close();

  /// Closes once all buffered bytes are sent. Input is discarded until then.
  void CloseWhenSent();

  [[nodiscard]] bool IsOpen() const { return mSocket.is_open(); }

private:
  void WaitToRead();
  void Read();
  void ProcessLines(std::string_view aBytes);
  void WaitToWrite();
  void Flush();
  void End();

  boost::asio::ip::tcp::socket mSocket;
  listener mListener;
  line_splitter mSplitter;
  std::string mOut;
  bool mIsWriting = false;
  bool mClosesWhenSent = false;
};

} // namespace currantshed::node

#endif

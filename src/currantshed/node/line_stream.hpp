#ifndef CURRANTSHED_NODE_LINE_STREAM_HPP
#define CURRANTSHED_NODE_LINE_STREAM_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace currantshed::node {

/// Maximum length of a line, including its end: the protocol's limit for a
/// message, in bytes.
constexpr std::size_t kMaxLineBytes = std::size_t{ 1 } << 20U;

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
  };

  explicit line_stream(boost::asio::ip::tcp::socket aSocket);

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

  /// Whether there is unread input, or part of a line.
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
  // The beginning of an incomplete line.
  std::string mPartialLine;
  std::string mOut;
  bool mIsWriting = false;
  bool mClosesWhenSent = false;
};

} // namespace currantshed::node

#endif

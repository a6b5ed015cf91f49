#ifndef CURRANTSHED_STANDIN_UPSTREAM_DELAYED_WRITER_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_DELAYED_WRITER_HPP

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "currantshed/clock/time.hpp"

namespace currantshed::standin::postgres {

/// Writes to a socket in order, each chunk no earlier than its delay after
/// Send, which simulates link latency. Pending asynchronous operations keep the
/// given owner alive.
class delayed_writer
{
public:
  explicit delayed_writer(boost::asio::ip::tcp::socket& aSocket);

  void Send(const std::shared_ptr<void>& aOwner,
            std::string aBytes,
            clock::duration aDelay);
  /// Stops writing and drops all pending chunks.
  void Freeze();
  /// Sets the callback invoked after each write, including a failed one.
  void OnWritten(std::function<void()> aWritten);
  /// Bytes that are pending or being written.
  [[nodiscard]] std::size_t Queued() const noexcept;

private:
  struct chunk
  {
    clock::time_point due;
    std::string bytes;
  };

  void Pump(const std::shared_ptr<void>& aOwner);
  void Write(const std::shared_ptr<void>& aOwner);
  void WaitUntil(clock::time_point aDue, const std::shared_ptr<void>& aOwner);

  boost::asio::ip::tcp::socket& mSocket;
  boost::asio::steady_timer mTimer;
  std::deque<chunk> mChunks;
  std::string mCurrent;
  std::size_t mQueued = 0;
  bool mBusy = false;
  bool mFrozen = false;
  std::function<void()> mWritten;
};

} // namespace currantshed::standin::postgres

#endif

#ifndef CURRANTSHED_STANDIN_UPSTREAM_REPLICA_LINK_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_REPLICA_LINK_HPP

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "currantshed/clock/time.hpp"
#include "standin/upstream/delayed_writer.hpp"
#include "standin/upstream/log.hpp"
#include "standin/upstream/term_state.hpp"
#include "standin/upstream/wire.hpp"

namespace currantshed::standin::postgres {

class server;

/// A replica's connection to the primary of one term: connects once, stores the
/// records received, and acknowledges them. After a disconnect it has the
/// server create another link after the retry interval.
class replica_link : public std::enable_shared_from_this<replica_link>
{
public:
  replica_link(server& aServer, term_id aTerm, primary_address aPrimary);

  void Start();
  /// Closes the link; nothing is stored after this call.
  void Close();

private:
  struct waiting_record
  {
    clock::time_point due;
    log_index index = 0;
    log_record record;
  };

  void Connect();
  void Greet();
  void Break();
  void Retry();
  void Read();
  [[nodiscard]] bool TakeMessages();
  [[nodiscard]] bool Take(const message& aMessage);
  [[nodiscard]] bool TakeRecord(message_reader& aReader,
                                std::string_view aBody);
  [[nodiscard]] bool StoreDue();
  void Acknowledge();
  void WaitToStore();

  static constexpr std::size_t kReadSize = std::size_t{ 64 } << 10U;

  server& mServer;
  term_id mTerm;
  primary_address mPrimary;
  boost::asio::ip::tcp::socket mSocket;
  delayed_writer mWriter;
  boost::asio::steady_timer mRetryTimer;
  boost::asio::steady_timer mStoreTimer;
  std::array<char, kReadSize> mChunk{};
  std::string mInput;
  std::deque<waiting_record> mWaiting;
  bool mConnected = false;
  bool mStarted = false;
  bool mClosed = false;
};

} // namespace currantshed::standin::postgres

#endif

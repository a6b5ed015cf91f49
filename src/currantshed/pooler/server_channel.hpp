#ifndef CURRANTSHED_POOLER_SERVER_CHANNEL_HPP
#define CURRANTSHED_POOLER_SERVER_CHANNEL_HPP

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "currantshed/clock/time.hpp"
#include "currantshed/net/tick_timer.hpp"
#include "currantshed/pooler/fwd.hpp"
#include "currantshed/upstream/endpoint.hpp"
#include "currantshed/upstream/pq_connection.hpp"
#include "currantshed/upstream/statement.hpp"

namespace currantshed::pooler {

/// One connection to a database server for questions about the server itself,
/// asked one after the other. It opens the connection when a question needs
/// it, and drops it when an answer is late, so that a late answer is never
/// taken for that to a later question.
class server_channel
{
public:
  /// The server's reply, or none if it did not come in time; and when the
  /// question was sent.
  using answer = std::function<void(const std::optional<upstream::reply>&,
                                    clock::time_point aSentAt)>;

  server_channel(boost::asio::io_context& aContext,
                 upstream::endpoint aEndpoint);
  server_channel(const server_channel&) = delete;
  server_channel& operator=(const server_channel&) = delete;
  ~server_channel();

  /// Asks a question; the answer comes later, once, unless the channel is
  /// destroyed before. The time includes that for opening a connection.
  void Query(upstream::statement aQuery,
             std::chrono::milliseconds aTimeout,
             answer aDone);

private:
  struct query
  {
    upstream::statement text;
    clock::time_point due;
    answer done;
    clock::time_point sentAt;
    bool isSent = false;
  };

  void Open();
  void Opened(bool aIsOpen);
  void SendNext();
  void Replied(upstream::reply aReply);
  void Lost();
  void FailAll();
  void Expire();
  void Schedule();

  boost::asio::io_context& mContext;
  upstream::endpoint mEndpoint;
  std::unique_ptr<upstream::pq_connection> mConnection;
  bool mIsOpen = false;
  std::deque<query> mQueries;
  net::tick_timer mTimer;
};

} // namespace currantshed::pooler

#endif

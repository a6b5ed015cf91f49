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

/// A connection to a database server for status queries and control commands,
/// which are executed one at a time. It is opened when first needed, and closed
/// when an answer is late, so that a late answer is never matched to a
/// subsequent query.
class server_channel
{
public:
  /// Receives the reply, or none if it did not arrive in time, and the time at
  /// which the query was sent.
  using answer = std::function<void(const std::optional<upstream::reply>&,
                                    clock::time_point aSentAt)>;

  server_channel(boost::asio::io_context& aContext,
                 upstream::endpoint aEndpoint);
  server_channel(const server_channel&) = delete;
  server_channel& operator=(const server_channel&) = delete;
  ~server_channel();

  /// Queues a query. The callback runs later, exactly once, unless the channel
  /// is destroyed first. The timeout includes the time for opening a
  /// connection.
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

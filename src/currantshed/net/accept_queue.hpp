#ifndef CURRANTSHED_NET_ACCEPT_QUEUE_HPP
#define CURRANTSHED_NET_ACCEPT_QUEUE_HPP

#include <utility>

#include <boost/asio/ip/tcp.hpp>

namespace currantshed::net {

/// Closes a listening socket after passing each connection in its accept queue
/// to the handler. Closing alone would reset those connections, although their
/// clients see them as established and may already have sent a request.
template<typename handler>
void
CloseListener(boost::asio::ip::tcp::acceptor& aAcceptor, handler aHandler)
{
  boost::system::error_code error;
  aAcceptor.non_blocking(true, error);
  while (!error) {
    boost::asio::ip::tcp::socket socket(aAcceptor.get_executor());
    aAcceptor.accept(socket, error);
    if (error == boost::asio::error::connection_aborted) {
      error.clear();
    } else if (!error) {
      aHandler(std::move(socket));
    }
  }
  aAcceptor.close(error);
}

} // namespace currantshed::net

#endif

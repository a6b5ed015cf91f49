#ifndef CURRANTSHED_UPSTREAM_PQ_CONNECTION_HPP
#define CURRANTSHED_UPSTREAM_PQ_CONNECTION_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <system_error>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "currantshed/upstream/endpoint.hpp"
#include "currantshed/upstream/statement.hpp"

namespace currantshed::upstream {

/// One connection to a database server with PostgreSQL's protocol, through
/// libpq's non-blocking calls in pipeline mode. No call waits. All calls
/// belong to the thread that runs the io_context, and all callbacks come from
/// there; a callback may close or destroy the connection.
class pq_connection
{
public:
  pq_connection(boost::asio::io_context& aContext, endpoint aEndpoint);
  pq_connection(const pq_connection&) = delete;
  pq_connection& operator=(const pq_connection&) = delete;
  /// Closes the connection.
  ~pq_connection();

  /// Opens the connection; once only. The callback tells whether it is open,
  /// and never comes before Open has returned.
  void Open(std::function<void(bool)> aOpened);

  /// Sets what is called when an open connection breaks or becomes unusable;
  /// a batch under way is answered as torn before.
  void OnLost(std::function<void()> aLost);

  /// Runs statements as one pipeline that ends with the first error, and
  /// gives the whole answer. Only without a batch under way; on a connection
  /// that isn't open the answer is torn. Statements outside a transaction that
  /// they open themselves run in one implicit transaction. An answer above the
  /// limit, which counts bytes as received, is torn with kAnswerLimitSqlState
  /// and ends the connection; a text with a zero byte can't be sent and is
  /// refused with kUnsendableTextSqlState before anything runs.
  void Run(const std::vector<statement>& aStatements,
           std::size_t aAnswerLimitBytes,
           std::function<void(reply)> aDone);

  /// Closes the connection at once. No callback comes after this.
  void Close();

  /// Whether Run may be called.
  [[nodiscard]] bool Idle() const noexcept;

  /// Why the connection did not open or can't be used any more.
  [[nodiscard]] std::error_code LastError() const noexcept;

private:
  std::shared_ptr<pq_session> mSession;
};

} // namespace currantshed::upstream

#endif

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

/// One connection to a database server over PostgreSQL's protocol, using
/// libpq's non-blocking calls in pipeline mode. No call blocks. All calls must
/// be made on the thread that runs the io_context, and all callbacks are
/// invoked there; a callback may close or destroy the connection.
class pq_connection
{
public:
  pq_connection(boost::asio::io_context& aContext, endpoint aEndpoint);
  pq_connection(const pq_connection&) = delete;
  pq_connection& operator=(const pq_connection&) = delete;
  /// Closes the connection.
  ~pq_connection();

  /// Opens the connection; may be called once. The callback tells whether the
  /// connection was established, and is never invoked before Open has returned.
  void Open(std::function<void(bool)> aOpened);

  /// Sets the callback for a connection that is lost or becomes unusable after
  /// it was open; a batch in progress is first answered as indeterminate.
  void OnLost(std::function<void()> aLost);

  /// Runs statements as one pipeline that stops at the first error, and passes
  /// the complete answer to the callback. Must not be called while a batch is
  /// in progress; on a connection that is not open the answer is indeterminate.
  /// Statements outside an explicit transaction run in one implicit
  /// transaction. An answer above the limit, which counts received bytes, is
  /// indeterminate with kAnswerLimitSqlState and closes the connection; a text
  /// with a zero byte cannot be sent and is rejected with
  /// kUnsendableTextSqlState before anything runs.
  void Run(const std::vector<statement>& aStatements,
           std::size_t aAnswerLimitBytes,
           std::function<void(reply)> aDone);

  /// Closes the connection immediately. No callback is invoked afterwards.
  void Close();

  /// Whether Run may be called.
  [[nodiscard]] bool Idle() const noexcept;

  /// The reason why the connection could not be opened or was closed.
  [[nodiscard]] std::error_code LastError() const noexcept;

private:
  std::shared_ptr<pq_session> mSession;
};

} // namespace currantshed::upstream

#endif

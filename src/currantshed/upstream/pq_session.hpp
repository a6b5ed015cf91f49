#ifndef CURRANTSHED_UPSTREAM_PQ_SESSION_HPP
#define CURRANTSHED_UPSTREAM_PQ_SESSION_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <system_error>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "currantshed/upstream/endpoint.hpp"
#include "currantshed/upstream/pq_handle.hpp"
#include "currantshed/upstream/statement.hpp"

namespace currantshed::upstream {

/// Implementation of pq_connection. Outlives the connection object while a
/// handler of the io_context refers to it.
class pq_session : public std::enable_shared_from_this<pq_session>
{
public:
  pq_session(boost::asio::io_context& aContext, endpoint aEndpoint);

  /// See the functions of the same names in pq_connection.
  void Open(std::function<void(bool)> aOpened);
  void OnLost(std::function<void()> aLost);
  void Run(const std::vector<statement>& aStatements,
           std::size_t aAnswerLimitBytes,
           std::function<void(reply)> aDone);

  [[nodiscard]] bool Idle() const noexcept;
  [[nodiscard]] std::error_code LastError() const noexcept;

  /// Closes the connection and suppresses all further callbacks.
  void Abandon();

private:
  enum class state
  {
    kNew,
    kConnecting,
    kOpen,
    kClosed,
  };

  /// Posts a step to the io_context; it is skipped if the connection closes
  /// first.
  template<typename Step>
  void PostStep(Step aStep)
  {
    boost::asio::post(mSocket.get_executor(),
                      [self = shared_from_this(), aStep] {
                        if (self->mState != state::kClosed) {
                          aStep(*self);
                        }
                      });
  }

  /// Detaches the socket descriptor, which is owned by libpq.
  void ReleaseSocket();

  /// Waits until the connection attempt can proceed. libpq may replace its
  /// socket during the attempt, even by one with the same descriptor number, so
  /// the descriptor is reassigned for each wait.
  void AwaitConnect(PostgresPollingStatusType aNeed);

  void ContinueConnecting();
  void FailConnecting();
  void FinishConnecting();

  void SendBatch(const std::vector<statement>& aStatements);
  void Flush();
  void AwaitWritable();
  void AwaitReadable();
  void ReadInput();
  void ReadResults();

  /// Whether more results may be available: two null results in a row mean that
  /// no further result has arrived.
  [[nodiscard]] bool HasMoreResults();

  /// Adds one result to the reply; false at the end of the batch.
  [[nodiscard]] bool HandleResult(const PGresult* aResult);
  [[nodiscard]] bool HandleRows(const PGresult* aResult);
  [[nodiscard]] bool HandleError(const PGresult* aResult);
  void Finish();

  /// Closes the connection with an error: completes pending callbacks first,
  /// then reports the loss.
  void Fail(std::error_code aError);
  void Close();

  endpoint mEndpoint;
  boost::asio::posix::stream_descriptor mSocket;
  boost::asio::steady_timer mTimer;
  pq_handle mHandle;
  state mState = state::kNew;
  bool mFlushing = false;
  bool mAbandoned = false;
  std::error_code mError;
  std::function<void(bool)> mOpened;
  std::function<void()> mLost;
  std::function<void(reply)> mDone;
  reply mReply;
  std::size_t mAnswerLimitBytes = 0;
  /// Bytes received on the socket before the current batch.
  std::uint64_t mBytesBeforeBatch = 0;
  std::size_t mCellBytes = 0;
  int mEmptyResults = 0;
};

} // namespace currantshed::upstream

#endif

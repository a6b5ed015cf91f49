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

/// What pq_connection does; it outlives the connection object while a handler
/// of the io_context holds it.
class pq_session : public std::enable_shared_from_this<pq_session>
{
public:
  pq_session(boost::asio::io_context& aContext, endpoint aEndpoint);

  /// These do what the functions of pq_connection do.
  void Open(std::function<void(bool)> aOpened);
  void OnLost(std::function<void()> aLost);
  void Run(const std::vector<statement>& aStatements,
           std::size_t aAnswerLimitBytes,
           std::function<void(reply)> aDone);

  [[nodiscard]] bool Idle() const noexcept;
  [[nodiscard]] std::error_code LastError() const noexcept;

  /// Closes the connection; the owner wants no further callback.
  void Abandon();

private:
  enum class state
  {
    kNew,
    kConnecting,
    kOpen,
    kClosed,
  };

  /// Runs a step from the io_context unless the connection closes before.
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

  /// Hands the descriptor back to libpq, which owns it.
  void ReleaseSocket();

  /// libpq may replace its socket during the connect, even under the same
  /// number, so the descriptor is taken anew for each wait.
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

  /// Two ends in a row mean that nothing more has arrived.
  [[nodiscard]] bool HasMoreResults();

  /// Takes one result over; false when the batch has come to its end.
  [[nodiscard]] bool HandleResult(const PGresult* aResult);
  [[nodiscard]] bool HandleRows(const PGresult* aResult);
  [[nodiscard]] bool HandleError(const PGresult* aResult);
  void Finish();

  /// Ends the connection: tells whoever waits, then that it is lost.
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
  /// Bytes received before the batch under way.
  std::uint64_t mBytesBeforeBatch = 0;
  std::size_t mCellBytes = 0;
  int mEmptyResults = 0;
};

} // namespace currantshed::upstream

#endif

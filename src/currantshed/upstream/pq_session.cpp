#include "currantshed/upstream/pq_session.hpp"

#include <algorithm>
#include <utility>

#include <libpq-fe.h>

#include "currantshed/upstream/dialect.hpp"
#include "currantshed/upstream/errors.hpp"
#include "currantshed/upstream/pq_result.hpp"
#include "currantshed/upstream/received_bytes.hpp"

namespace currantshed::upstream {

namespace {

using boost::asio::posix::stream_descriptor;
using error_code = boost::system::error_code;

void
IgnoreNotice(void* /*aContext*/, const PGresult* /*aNotice*/)
{
}

reply
IndeterminateReply(std::error_code aError)
{
  reply indeterminate;
  indeterminate.end = batch_end::kIndeterminate;
  if (aError == errc::kAnswerTooLarge) {
    indeterminate.sqlState = kAnswerLimitSqlState;
  }
  indeterminate.message = aError.message();
  return indeterminate;
}

} // namespace

pq_session::pq_session(boost::asio::io_context& aContext, endpoint aEndpoint)
  : mEndpoint(std::move(aEndpoint))
  , mSocket(aContext)
  , mTimer(aContext)
{
}

void
pq_session::Open(std::function<void(bool)> aOpened)
{
  mOpened = std::move(aOpened);
  mHandle = StartConnect(mEndpoint);
  mState = state::kConnecting;
  mTimer.expires_after(mEndpoint.connectTimeout);
  mTimer.async_wait([self = shared_from_this()](error_code aError) {
    if (!aError && self->mState == state::kConnecting) {
      self->Fail(errc::kConnectTimeout);
    }
  });
  if (!mHandle || PQstatus(mHandle.get()) == CONNECTION_BAD) {
    PostStep([](pq_session& aSelf) { aSelf.FailConnecting(); });
    return;
  }
  AwaitConnect(PGRES_POLLING_WRITING);
}

void
pq_session::OnLost(std::function<void()> aLost)
{
  mLost = std::move(aLost);
}

void
pq_session::Run(const std::vector<statement>& aStatements,
                std::size_t aAnswerLimitBytes,
                std::function<void(reply)> aDone)
{
  if (mState != state::kOpen) {
    boost::asio::post(mSocket.get_executor(),
                      [self = shared_from_this(), done = std::move(aDone)] {
                        if (!self->mAbandoned) {
                          done(IndeterminateReply(errc::kConnectionLost));
                        }
                      });
    return;
  }
  mDone = std::move(aDone);
  mReply = reply{};
  mReply.results.reserve(aStatements.size());
  mAnswerLimitBytes = aAnswerLimitBytes;
  mBytesBeforeBatch = ReceivedBytes(PQsocket(mHandle.get()));
  mCellBytes = 0;
  if (!std::all_of(aStatements.begin(), aStatements.end(), CanBeSent)) {
    mReply.end = batch_end::kServerError;
    mReply.sqlState = kUnsendableTextSqlState;
    mReply.message = "a text with a zero byte can't be sent";
    PostStep([](pq_session& aSelf) { aSelf.Finish(); });
    return;
  }
  SendBatch(aStatements);
}

void
pq_session::Close()
{
  mState = state::kClosed;
  mOpened = nullptr;
  mLost = nullptr;
  mDone = nullptr;
  mTimer.cancel();
  ReleaseSocket();
  mHandle.reset();
}

bool
pq_session::Idle() const noexcept
{
  return mState == state::kOpen && !mDone;
}

std::error_code
pq_session::LastError() const noexcept
{
  return mError;
}

void
pq_session::ReleaseSocket()
{
  if (mSocket.is_open()) {
    mSocket.release();
  }
}

void
pq_session::AwaitConnect(PostgresPollingStatusType aNeed)
{
  error_code error;
  mSocket.assign(PQsocket(mHandle.get()), error);
  if (error) {
    PostStep([](pq_session& aSelf) { aSelf.FailConnecting(); });
    return;
  }
  mSocket.async_wait(aNeed == PGRES_POLLING_READING
                       ? stream_descriptor::wait_read
                       : stream_descriptor::wait_write,
                     [self = shared_from_this()](error_code aError) {
                       if (!aError && self->mState == state::kConnecting) {
                         self->ContinueConnecting();
                       }
                     });
}

void
pq_session::ContinueConnecting()
{
  ReleaseSocket();
  const auto need = PQconnectPoll(mHandle.get());
  if (need == PGRES_POLLING_FAILED) {
    FailConnecting();
  } else if (need == PGRES_POLLING_OK) {
    FinishConnecting();
  } else {
    AwaitConnect(need);
  }
}

void
pq_session::FailConnecting()
{
  const char* message = mHandle ? PQerrorMessage(mHandle.get()) : "";
  Fail(ClassifyConnectionError(message, false));
}

void
pq_session::FinishConnecting()
{
  PGconn* handle = mHandle.get();
  error_code error;
  mSocket.assign(PQsocket(handle), error);
  if (error || PQsetnonblocking(handle, 1) != 0 ||
      PQenterPipelineMode(handle) != 1) {
    FailConnecting();
    return;
  }
  PQsetNoticeReceiver(handle, IgnoreNotice, nullptr);
  mTimer.cancel();
  mState = state::kOpen;
  AwaitReadable();
  std::exchange(mOpened, nullptr)(true);
}

void
pq_session::SendBatch(const std::vector<statement>& aStatements)
{
  PGconn* handle = mHandle.get();
  const bool sent =
    std::all_of(aStatements.begin(),
                aStatements.end(),
                [handle](const auto& aItem) { return Send(handle, aItem); });
  if (!sent || PQpipelineSync(handle) != 1) {
    PostStep([](pq_session& aSelf) { aSelf.Fail(errc::kConnectionLost); });
    return;
  }
  Flush();
}

void
pq_session::Flush()
{
  const int left = PQflush(mHandle.get());
  if (left < 0) {
    PostStep([](pq_session& aSelf) { aSelf.Fail(errc::kConnectionLost); });
    return;
  }
  if (left > 0 && !mFlushing) {
    AwaitWritable();
  }
}

void
pq_session::AwaitWritable()
{
  mFlushing = true;
  mSocket.async_wait(stream_descriptor::wait_write,
                     [self = shared_from_this()](error_code aError) {
                       self->mFlushing = false;
                       if (!aError && self->mState == state::kOpen) {
                         self->Flush();
                       }
                     });
}

void
pq_session::AwaitReadable()
{
  mSocket.async_wait(stream_descriptor::wait_read,
                     [self = shared_from_this()](error_code aError) {
                       if (!aError && self->mState == state::kOpen) {
                         self->ReadInput();
                       }
                     });
}

void
pq_session::ReadInput()
{
  if (PQconsumeInput(mHandle.get()) != 1) {
    Fail(errc::kConnectionLost);
    return;
  }
  // libpq buffers a complete result before returning it, so the limit is
  // enforced on the bytes received.
  if (mDone && ReceivedBytes(PQsocket(mHandle.get())) - mBytesBeforeBatch >
                 mAnswerLimitBytes) {
    Fail(errc::kAnswerTooLarge);
    return;
  }
  // Rearm the wait first: the end of a batch invokes a callback that may start
  // the next batch or close the connection.
  AwaitReadable();
  ReadResults();
}

void
pq_session::ReadResults()
{
  PGconn* handle = mHandle.get();
  while (mDone && PQisBusy(handle) == 0) {
    const pq_result result(PQgetResult(handle));
    if (!result) {
      // A null result ends the results of one statement; further results may be
      // available or still in flight.
      if (PQisBusy(handle) == 0 && !HasMoreResults()) {
        return;
      }
      continue;
    }
    mEmptyResults = 0;
    if (!HandleResult(result.get())) {
      return;
    }
  }
}

bool
pq_session::HasMoreResults()
{
  ++mEmptyResults;
  if (mEmptyResults < 2) {
    return true;
  }
  mEmptyResults = 0;
  return false;
}

bool
pq_session::HandleResult(const PGresult* aResult)
{
  switch (PQresultStatus(aResult)) {
    case PGRES_PIPELINE_SYNC:
      Finish();
      return false;
    case PGRES_TUPLES_OK:
    case PGRES_COMMAND_OK:
    case PGRES_EMPTY_QUERY:
      return HandleRows(aResult);
    case PGRES_FATAL_ERROR:
      return HandleError(aResult);
    case PGRES_PIPELINE_ABORTED:
      return true;
    default:
      Fail(errc::kProtocol);
      return false;
  }
}

bool
pq_session::HandleRows(const PGresult* aResult)
{
  mReply.results.push_back(ReadRows(aResult, mCellBytes));
  if (mCellBytes > mAnswerLimitBytes) {
    Fail(errc::kAnswerTooLarge);
    return false;
  }
  return true;
}

bool
pq_session::HandleError(const PGresult* aResult)
{
  if (PQstatus(mHandle.get()) == CONNECTION_BAD) {
    Fail(errc::kConnectionLost);
    return false;
  }
  if (mReply.end == batch_end::kComplete) {
    mReply.end = batch_end::kServerError;
    mReply.sqlState = ReadSqlState(aResult);
    mReply.message = ReadMessage(aResult);
  }
  return true;
}

void
pq_session::Finish()
{
  auto done = std::exchange(mDone, nullptr);
  done(std::move(mReply));
}

void
pq_session::Fail(std::error_code aError)
{
  mError = aError;
  auto opened = std::exchange(mOpened, nullptr);
  auto done = std::exchange(mDone, nullptr);
  auto lost = std::exchange(mLost, nullptr);
  const bool wasOpen = mState == state::kOpen;
  Close();
  if (opened) {
    opened(false);
    return;
  }
  if (done) {
    done(IndeterminateReply(aError));
  }
  // The callback above may have destroyed the connection's owner.
  if (wasOpen && lost && !mAbandoned) {
    lost();
  }
}

void
pq_session::Abandon()
{
  mAbandoned = true;
  Close();
}

} // namespace currantshed::upstream

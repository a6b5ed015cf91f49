#include "currantshed/upstream/pq_connection.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <libpq-fe.h>
#include <sys/ioctl.h>

#include "currantshed/upstream/dialect.hpp"
#include "currantshed/upstream/errors.hpp"
#include "currantshed/upstream/pq_handle.hpp"
#include "currantshed/upstream/pq_result.hpp"

namespace currantshed::upstream {

namespace {

using boost::asio::posix::stream_descriptor;
using error_code = boost::system::error_code;

void
IgnoreNotice(void* /*aContext*/, const PGresult* /*aNotice*/)
{
}

} // namespace

// Outlives the connection object while a handler of the io_context holds it.
class pq_connection::session : public std::enable_shared_from_this<session>
{
public:
  session(boost::asio::io_context& aContext, endpoint aEndpoint)
    : mEndpoint(std::move(aEndpoint))
    , mSocket(aContext)
    , mTimer(aContext)
  {
  }

  void Open(std::function<void(bool)> aOpened)
  {
    mOpened = std::move(aOpened);
    mHandle = StartConnecting(mEndpoint);
    mState = state::kConnecting;
    mTimer.expires_after(mEndpoint.connectTimeout);
    mTimer.async_wait([self = shared_from_this()](error_code aError) {
      if (!aError && self->mState == state::kConnecting) {
        self->Fail(errc::kConnectTimeout);
      }
    });
    if (!mHandle || PQstatus(mHandle.get()) == CONNECTION_BAD) {
      Later([](session& aSelf) { aSelf.FailConnecting(); });
      return;
    }
    AwaitConnect(PGRES_POLLING_WRITING);
  }

  void OnLost(std::function<void()> aLost) { mLost = std::move(aLost); }

  void Run(std::vector<statement> aStatements,
           std::size_t aAnswerLimitBytes,
           std::function<void(reply)> aDone)
  {
    mDone = std::move(aDone);
    mReply = reply{};
    mReply.results.reserve(aStatements.size());
    mLimit = aAnswerLimitBytes;
    mReceived = 0;
    mCellBytes = 0;
    if (!std::all_of(aStatements.begin(), aStatements.end(), CanBeSent)) {
      mReply.end = batch_end::kServerError;
      mReply.sqlState = kUnsendableTextState;
      mReply.message = "a text with a zero byte can't be sent";
      Later([](session& aSelf) { aSelf.Finish(); });
      return;
    }
    SendBatch(aStatements);
  }

  void Close()
  {
    mState = state::kClosed;
    mOpened = nullptr;
    mLost = nullptr;
    mDone = nullptr;
    mTimer.cancel();
    LetGo();
    mHandle.reset();
  }

  [[nodiscard]] bool Idle() const noexcept
  {
    return mState == state::kOpen && !mDone;
  }

  [[nodiscard]] std::error_code LastError() const noexcept { return mError; }

private:
  enum class state
  {
    kNew,
    kConnecting,
    kOpen,
    kClosed,
  };

  // Runs a step from the io_context unless the connection closes before.
  template<typename Step>
  void Later(Step aStep)
  {
    boost::asio::post(mSocket.get_executor(),
                      [self = shared_from_this(), aStep] {
                        if (self->mState != state::kClosed) {
                          aStep(*self);
                        }
                      });
  }

  // Hands the descriptor back to libpq, which owns it.
  void LetGo()
  {
    if (mSocket.is_open()) {
      mSocket.release();
    }
  }

  // libpq may replace its socket during the connect, even under the same
  // number, so the descriptor is taken anew for each wait.
  void AwaitConnect(PostgresPollingStatusType aNeed)
  {
    error_code error;
    mSocket.assign(PQsocket(mHandle.get()), error);
    if (error) {
      Later([](session& aSelf) { aSelf.FailConnecting(); });
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

  void ContinueConnecting()
  {
    LetGo();
    const auto need = PQconnectPoll(mHandle.get());
    if (need == PGRES_POLLING_FAILED) {
      FailConnecting();
    } else if (need == PGRES_POLLING_OK) {
      FinishConnecting();
    } else {
      AwaitConnect(need);
    }
  }

  void FailConnecting()
  {
    const char* message = mHandle ? PQerrorMessage(mHandle.get()) : "";
    Fail(FromConnectionMessage(message, false));
  }

  void FinishConnecting()
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
    AwaitInput();
    std::exchange(mOpened, nullptr)(true);
  }

  void SendBatch(const std::vector<statement>& aStatements)
  {
    PGconn* handle = mHandle.get();
    const bool sent =
      std::all_of(aStatements.begin(),
                  aStatements.end(),
                  [handle](const auto& aItem) { return Send(handle, aItem); });
    if (!sent || PQpipelineSync(handle) != 1) {
      Later([](session& aSelf) { aSelf.Fail(errc::kConnectionLost); });
      return;
    }
    Flush();
  }

  void Flush()
  {
    const int left = PQflush(mHandle.get());
    if (left < 0) {
      Later([](session& aSelf) { aSelf.Fail(errc::kConnectionLost); });
      return;
    }
    if (left > 0 && !mFlushing) {
      AwaitRoom();
    }
  }

  void AwaitRoom()
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

  void AwaitInput()
  {
    mSocket.async_wait(stream_descriptor::wait_read,
                       [self = shared_from_this()](error_code aError) {
                         if (!aError && self->mState == state::kOpen) {
                           self->TakeInput();
                         }
                       });
  }

  void TakeInput()
  {
    // libpq gathers a whole result before it hands it out, so what arrives is
    // counted here.
    int available = 0;
    if (ioctl(mSocket.native_handle(), FIONREAD, &available) == 0) {
      mReceived += static_cast<std::size_t>(available);
    }
    if (PQconsumeInput(mHandle.get()) != 1) {
      Fail(errc::kConnectionLost);
      return;
    }
    if (mDone && mReceived > mLimit) {
      Fail(errc::kAnswerTooLarge);
      return;
    }
    // The wait comes first: the end of a batch calls back, and that may start
    // the next batch or close the connection.
    AwaitInput();
    TakeResults();
  }

  void TakeResults()
  {
    PGconn* handle = mHandle.get();
    while (mDone && PQisBusy(handle) == 0) {
      const pq_result result(PQgetResult(handle));
      if (!result) {
        // Ends one statement's results; more may be there, or still to come.
        if (PQisBusy(handle) == 0 && !HasMoreResults()) {
          return;
        }
        continue;
      }
      mEmptyResults = 0;
      if (!Take(result.get())) {
        return;
      }
    }
  }

  // Two ends in a row mean that nothing more has arrived.
  bool HasMoreResults()
  {
    ++mEmptyResults;
    if (mEmptyResults < 2) {
      return true;
    }
    mEmptyResults = 0;
    return false;
  }

  // Takes one result over; false when the batch has come to its end.
  bool Take(const PGresult* aResult)
  {
    switch (PQresultStatus(aResult)) {
      case PGRES_PIPELINE_SYNC:
        Finish();
        return false;
      case PGRES_TUPLES_OK:
      case PGRES_COMMAND_OK:
      case PGRES_EMPTY_QUERY:
        return TakeRows(aResult);
      case PGRES_FATAL_ERROR:
        return TakeError(aResult);
      case PGRES_PIPELINE_ABORTED:
        return true;
      default:
        Fail(errc::kProtocol);
        return false;
    }
  }

  bool TakeRows(const PGresult* aResult)
  {
    mReply.results.push_back(ReadRows(aResult, mCellBytes));
    if (mCellBytes > mLimit) {
      Fail(errc::kAnswerTooLarge);
      return false;
    }
    return true;
  }

  bool TakeError(const PGresult* aResult)
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

  void Finish()
  {
    auto done = std::exchange(mDone, nullptr);
    done(std::move(mReply));
  }

  // Ends the connection: tells whoever waits, then that it is lost.
  void Fail(std::error_code aError)
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
      done(TornReply(aError));
    }
    // The callback above may have destroyed the connection's owner.
    if (wasOpen && lost && !mAbandoned) {
      lost();
    }
  }

  static reply TornReply(std::error_code aError)
  {
    reply torn;
    torn.end = batch_end::kTorn;
    if (aError == errc::kAnswerTooLarge) {
      torn.sqlState = kAnswerLimitState;
    }
    torn.message = aError.message();
    return torn;
  }

public:
  // The owner wants no further callback.
  void Abandon()
  {
    mAbandoned = true;
    Close();
  }

private:
  endpoint mEndpoint;
  stream_descriptor mSocket;
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
  std::size_t mLimit = 0;
  std::size_t mReceived = 0;
  std::size_t mCellBytes = 0;
  int mEmptyResults = 0;
};

pq_connection::pq_connection(boost::asio::io_context& aContext,
                             endpoint aEndpoint)
  : mSession(std::make_shared<session>(aContext, std::move(aEndpoint)))
{
}

pq_connection::~pq_connection()
{
  try {
    mSession->Abandon();
  } catch (...) {
    // Only cancelling a wait can throw; the session closes with its last
    // handler then.
    mSession.reset();
  }
}

void
pq_connection::Open(std::function<void(bool)> aOpened)
{
  mSession->Open(std::move(aOpened));
}

void
pq_connection::OnLost(std::function<void()> aLost)
{
  mSession->OnLost(std::move(aLost));
}

void
pq_connection::Run(std::vector<statement> aStatements,
                   std::size_t aAnswerLimitBytes,
                   std::function<void(reply)> aDone)
{
  mSession->Run(std::move(aStatements), aAnswerLimitBytes, std::move(aDone));
}

void
pq_connection::Close()
{
  mSession->Abandon();
}

bool
pq_connection::Idle() const noexcept
{
  return mSession->Idle();
}

std::error_code
pq_connection::LastError() const noexcept
{
  return mSession->LastError();
}

} // namespace currantshed::upstream

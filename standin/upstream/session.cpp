#include "standin/upstream/session.hpp"

#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/upstream/dialect.hpp"
#include "standin/upstream/responses.hpp"
#include "standin/upstream/server.hpp"
#include "standin/upstream/sql_text.hpp"

namespace currantshed::standin::postgres {

namespace {

using boost::system::error_code;

constexpr std::int32_t kProtocolVersion = 3 << 16;
constexpr std::int32_t kSslRequest = 80877103;
constexpr std::int32_t kEncryptionRequest = 80877104;
constexpr std::string_view kReadOnlyOption = "default_transaction_read_only=on";
constexpr std::size_t kOutputLimit = std::size_t{ 16 } << 20U;
constexpr std::size_t kInputLimit = 2 * kMessageLimit;
constexpr std::size_t kFlushSize = std::size_t{ 256 } << 10U;

sql_error
Malformed()
{
  return { "08P01", "malformed message" };
}

} // namespace

session::session(server& aServer, boost::asio::ip::tcp::socket aSocket)
  : mServer(aServer)
  , mSocket(std::move(aSocket))
  , mWriter(mSocket)
  , mTimer(mSocket.get_executor())
  , mRunner(aServer.Shared(), mSocket.get_executor(), [this] { Resume(); })
{
}

void
session::Start()
{
  error_code ignored;
  mSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  // Processing pauses while the caller doesn't read its output, and resumes
  // once it does.
  mWriter.OnWritten([this] {
    if (!mInput.empty() && !mClosed) {
      Process();
    }
  });
  Read();
}

void
session::Close()
{
  if (std::exchange(mClosed, true)) {
    return;
  }
  error_code ignored;
  mTimer.cancel();
  mRunner.Close();
  mSocket.close(ignored);
  mServer.Leave(shared_from_this(), mAdmitted);
}

void
session::Freeze()
{
  mFrozen = true;
  mWriter.Freeze();
}

bool
session::IsFrozen() const noexcept
{
  return mFrozen;
}

void
session::CloseIfIdle(clock::time_point aSince)
{
  if (mRunner.TransactionStatus() != 'I' && !mWaiting &&
      mLastMessage < aSince) {
    Close();
  }
}

const std::string&
session::Vm() const noexcept
{
  return mVm;
}

void
session::Read()
{
  if (mReading || mClosed || mInput.size() > kInputLimit) {
    return;
  }
  mReading = true;
  mSocket.async_read_some(
    boost::asio::buffer(mChunk),
    [self = shared_from_this()](error_code aError, std::size_t aSize) {
      self->mReading = false;
      if (self->mClosed) {
        return;
      }
      if (self->mFrozen) {
        self->Discard(aError);
        return;
      }
      if (aError) {
        self->mPeerGone = true;
      } else {
        self->mInput.append(self->mChunk.data(), aSize);
        self->mLastMessage = std::chrono::steady_clock::now();
      }
      self->Process();
    });
}

// Data that arrives over a cut link is lost. A connection that the server had
// accepted stays open, since nothing tells the server that the link is cut.
void
session::Discard(error_code aError)
{
  if (!aError) {
    Read();
  } else if (!mAdmitted) {
    Close();
  }
}

// Runs all complete requests. Requests that a caller sent before it
// disconnected are run too, as by a server that doesn't check the socket while
// it executes.
void
session::Process()
{
  const auto self = shared_from_this();
  while (!mWaiting && !mClosed && mWriter.Queued() < kOutputLimit) {
    if (!mSteps.empty()) {
      RunStep();
    } else if (!TakeMessage()) {
      break;
    }
    if (mOutput.size() > kFlushSize) {
      Flush();
    }
  }
  mInput.erase(0, mTaken);
  mTaken = 0;
  Flush();
  if (mPeerGone && !mWaiting) {
    Close();
  }
  Read();
}

bool
session::TakeMessage()
{
  message next;
  const auto rest = std::string_view(mInput).substr(mTaken);
  const auto end = ReadMessage(rest, !mStarted, next);
  if (end == message_end::kMalformed) {
    Reject(Malformed());
    return false;
  }
  if (end == message_end::kPartial) {
    return false;
  }
  mTaken += next.size;
  if (mStarted) {
    Handle(next);
  } else {
    TakeStartup(next.body);
  }
  return true;
}

void
session::TakeStartup(std::string_view aBody)
{
  message_reader reader(aBody);
  const auto code = reader.Int32();
  if (code == kSslRequest || code == kEncryptionRequest) {
    mOutput.push_back('N');
    return;
  }
  if (code == kReplicationCode) {
    mServer.StartFeed(std::move(mSocket), aBody.substr(sizeof(code)));
    Close();
    return;
  }
  if (code != kProtocolVersion) {
    Reject({ "0A000", "unsupported protocol version" });
    return;
  }
  TakeParameters(reader);
  if (reader.Failed()) {
    Reject(Malformed());
    return;
  }
  Admit();
}

void
session::TakeParameters(message_reader& aReader)
{
  while (!aReader.Failed()) {
    const auto name = aReader.Text();
    if (name.empty()) {
      return;
    }
    const auto value = aReader.Text();
    if (name == "application_name") {
      mVm = std::string(value);
    }
    if (name == "options" &&
        value.find(kReadOnlyOption) != std::string_view::npos) {
      mRunner.SetReadOnly();
    }
  }
}

void
session::Admit()
{
  mStarted = true;
  if (mServer.Faults().CutsVm(mVm)) {
    Freeze();
    mWaiting = true;
    return;
  }
  mAdmitted = mServer.Admit();
  if (!mAdmitted) {
    Reject({ std::string(currantshed::upstream::kTooManyConnectionsSqlState),
             "sorry, too many clients already" });
    return;
  }
  const auto delay = mServer.Settings().connectDelay;
  if (delay.count() == 0) {
    Welcome();
    return;
  }
  mWaiting = true;
  mTimer.expires_after(delay);
  mTimer.async_wait([self = shared_from_this()](error_code aError) {
    if (!aError && !self->mClosed) {
      self->mWaiting = false;
      self->Welcome();
      self->Process();
    }
  });
}

void
session::Welcome()
{
  PutAuthenticated(mOutput);
  PutReady('I', mOutput);
}

// Sends an error and closes the connection.
void
session::Reject(const sql_error& aError)
{
  PutError("FATAL", aError, mOutput);
  Flush();
  mWaiting = true;
  mWriter.OnWritten([this] { Close(); });
}

void
session::RunStep()
{
  auto& next = mSteps.front();
  if (next.sync) {
    mSteps.pop_front();
    RunSync();
    return;
  }
  if (std::exchange(next.describe, false)) {
    std::string columns;
    if (const auto error = mRunner.Describe(next.work.sql, false, columns)) {
      Refuse(*error);
      return;
    }
    // A simple query gets a RowDescription, but no NoData message.
    if (columns.front() == 'T') {
      mOutput += columns;
    }
  }
  const auto end = mRunner.Run(next.work, mOutput);
  if (end == run_end::kWait) {
    mWaiting = true;
  } else if (end == run_end::kDone) {
    mSteps.pop_front();
  } else {
    Refuse(mRunner.Error());
  }
}

void
session::RunSync()
{
  const auto error = mRunner.Sync();
  if (error && !mSkipping) {
    PutError("ERROR", *error, mOutput);
  }
  mSkipping = false;
  PutReady(mRunner.TransactionStatus(), mOutput);
}

// Answers with an error and skips all messages up to the next Sync; for a
// simple query that is the Sync queued with it.
void
session::Refuse(const sql_error& aError)
{
  mRunner.Fail();
  PutError("ERROR", aError, mOutput);
  mSkipping = true;
  while (!mSteps.empty() && !mSteps.front().sync) {
    mSteps.pop_front();
  }
}

void
session::Resume()
{
  boost::asio::post(mSocket.get_executor(), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->mClosed) {
      self->mWaiting = false;
      self->Process();
    }
  });
}

void
session::Flush()
{
  if (mClosed || mOutput.empty()) {
    return;
  }
  const auto delay = mServer.Settings().linkDelay + mServer.Faults().lateAnswer;
  mWriter.Send(shared_from_this(), std::exchange(mOutput, {}), delay);
}

} // namespace currantshed::standin::postgres

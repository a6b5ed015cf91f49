#include "currantshed/gateway/caller_connection.hpp"

#include <array>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "currantshed/gateway/caller_server.hpp"
#include "currantshed/gateway/error.hpp"
#include "currantshed/gateway/http_call.hpp"
#include "currantshed/gateway/json_codec.hpp"

namespace currantshed::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// Size of one read of a request.
constexpr std::size_t kReadBytes = 65536;
constexpr std::size_t kLingerBytes = 4096;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

std::string_view
View(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

boost::beast::string_view
BeastView(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::optional<std::string_view>
Header(const http::request<http::string_body>& aRequest, std::string_view aName)
{
  const auto found = aRequest.find(BeastView(aName));
  if (found == aRequest.end()) {
    return std::nullopt;
  }
  return View(found->value());
}

/// Maps a Beast parse error to a gateway error.
gateway_error
FromReadError(const error_code& aError)
{
  if (aError == http::error::body_limit) {
    return gateway_error::kBodyTooLarge;
  }
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return gateway_error::kHeaderTooLarge;
  }
  return gateway_error::kMalformedRequest;
}

/// Whether the error is about the request's content and not about the end of
/// the connection.
bool
IsMalformed(const error_code& aError)
{
  return aError.category() ==
           http::make_error_code(http::error::body_limit).category() &&
         aError != http::error::end_of_stream &&
         aError != http::error::partial_message;
}

/// The time in whole seconds, rounded up.
std::string
RetryAfterSeconds(std::chrono::milliseconds aTime)
{
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(aTime).count());
}

} // namespace

struct caller_connection::buffers
{
  explicit buffers(const caller_limits& aLimits)
    : input(kReadBytes + aLimits.headerBytes)
  {
  }

  void ResetParser(const caller_limits& aLimits)
  {
    parser.emplace();
    parser->header_limit(aLimits.headerBytes);
    parser->body_limit(aLimits.bodyBytes);
  }

  boost::beast::flat_buffer input;
  std::optional<http::request_parser<http::string_body>> parser;
  http::response<http::string_body> response;
};

caller_connection::caller_connection(tcp::socket aSocket,
                                     connection_owner& aOwner)
  : mSocket(std::move(aSocket))
  , mOwner(aOwner)
{
}

caller_connection::~caller_connection() = default;

void
caller_connection::Start()
{
  error_code ignored;
  mSocket.set_option(tcp::no_delay(true), ignored);
  AwaitRequest();
}

bool
caller_connection::IsIdle() const noexcept
{
  return mPhase == phase::kIdle;
}

bool
caller_connection::HasUnread() const
{
  error_code ignored;
  return mSocket.available(ignored) > 0;
}

request_number
caller_connection::PendingRequest() const noexcept
{
  return mPendingRequest;
}

void
caller_connection::SetPendingRequest(request_number aNumber) noexcept
{
  mPendingRequest = aNumber;
}

void
caller_connection::EnterPhase(phase aPhase)
{
  const caller_limits& limits = mOwner.Limits();
  const auto now = std::chrono::steady_clock::now();
  mPhase = aPhase;
  switch (aPhase) {
    case phase::kIdle:
      mTimeoutAt = now + limits.idleTimeout;
      return;
    case phase::kReading:
      mTimeoutAt = now + limits.requestTimeout;
      return;
    case phase::kWriting:
      mTimeoutAt = now + limits.writeTimeout;
      return;
    case phase::kLingering:
      mTimeoutAt = now + limits.lingerTimeout;
      return;
    case phase::kServing:
    case phase::kClosed:
      mTimeoutAt = clock::time_point::max();
      return;
  }
}

void
caller_connection::AwaitRequest()
{
  EnterPhase(phase::kIdle);
  mBuffers.reset();
  mSocket.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& aError) {
                       if (self->mPhase != phase::kIdle) {
                         return;
                       }
                       if (aError) {
                         self->Terminate();
                         return;
                       }
                       self->mBuffers =
                         std::make_unique<buffers>(self->mOwner.Limits());
                       self->ReadHeader();
                     });
}

void
caller_connection::ReadHeader()
{
  EnterPhase(phase::kReading);
  mTimedOut = false;
  mBuffers->ResetParser(mOwner.Limits());
  http::async_read_header(
    mSocket,
    mBuffers->input,
    *mBuffers->parser,
    [self = shared_from_this()](const error_code& aError, std::size_t) {
      if (self->mPhase != phase::kReading) {
        return;
      }
      if (aError) {
        self->OnReadError(aError);
        return;
      }
      const auto& request = self->mBuffers->parser->get();
      if (request[http::field::expect] == "100-continue") {
        self->SendContinue();
        return;
      }
      self->ReadBody();
    });
}

void
caller_connection::SendContinue()
{
  asio::async_write(
    mSocket,
    asio::buffer(kContinue),
    [self = shared_from_this()](const error_code& aError, std::size_t) {
      if (self->mPhase != phase::kReading) {
        return;
      }
      if (aError) {
        self->Terminate();
        return;
      }
      self->ReadBody();
    });
}

void
caller_connection::ReadBody()
{
  http::async_read(
    mSocket,
    mBuffers->input,
    *mBuffers->parser,
    [self = shared_from_this()](const error_code& aError, std::size_t) {
      if (self->mPhase != phase::kReading) {
        return;
      }
      if (aError) {
        self->OnReadError(aError);
        return;
      }
      self->Serve();
    });
}

void
caller_connection::OnReadError(const error_code& aError)
{
  if (mTimedOut) {
    mOwner.CountRefused();
    Respond(Refuse(gateway_error::kRequestTimeout), false);
    return;
  }
  if (!IsMalformed(aError)) {
    Terminate();
    return;
  }
  mOwner.CountRefused();
  Respond(Refuse(FromReadError(aError)), false);
}

void
caller_connection::Serve()
{
  const auto& message = mBuffers->parser->get();
  http_call call;
  call.method = View(message.method_string());
  call.target = View(message.target());
  call.body = message.body();
  call.session = Header(message, kSessionHeader);
  call.key = Header(message, kKeyHeader);
  call.deadline = Header(message, kDeadlineHeader);
  caller_request request;
  std::string detail;
  EnterPhase(phase::kServing);
  ++mRequestCount;
  if (const auto error = ReadCall(call, request, detail)) {
    mOwner.CountRefused();
    caller_answer refusal = Refuse(static_cast<gateway_error>(error.value()));
    if (!detail.empty()) {
      refusal.message += ": " + detail;
    }
    Respond(refusal, true);
    return;
  }
  mOwner.Submit(*this, std::move(request));
  if (mPhase == phase::kServing) {
    WatchForDisconnect();
  }
}

void
caller_connection::WatchForDisconnect()
{
  if (mBuffers->input.size() > 0) {
    // Bytes of a pipelined request have arrived, so the caller is still
    // connected.
    return;
  }
  mSocket.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this(),
                      requestCount = mRequestCount](const error_code& aError) {
                       if (self->mPhase != phase::kServing ||
                           self->mRequestCount != requestCount) {
                         return;
                       }
                       char first = 0;
                       error_code error = aError;
                       if (!error) {
                         self->mSocket.receive(asio::buffer(&first, 1),
                                               tcp::socket::message_peek,
                                               error);
                       }
                       if (error) {
                         self->Terminate();
                       }
                     });
}

void
caller_connection::Answer(const caller_answer& aAnswer)
{
  mPendingRequest = 0;
  if (mPhase == phase::kServing) {
    Respond(aAnswer, true);
  }
}

void
caller_connection::Respond(const caller_answer& aAnswer, bool aKeepAlive)
{
  const auto& request = mBuffers->parser->get();
  const bool keepAlive =
    aKeepAlive && request.keep_alive() && !mOwner.IsClosing();
  auto& response = mBuffers->response;
  response = {};
  response.version(request.version() == 0 ? 11 : request.version());
  response.result(StatusOf(aAnswer));
  response.keep_alive(keepAlive);
  response.set(http::field::content_type, "application/json");
  if (!aAnswer.session.empty()) {
    response.set(BeastView(kSessionHeader), aAnswer.session);
  }
  if (aAnswer.verdict == outcome::verdict::kNotRun) {
    response.set(http::field::retry_after,
                 RetryAfterSeconds(aAnswer.retryAfter));
  }
  response.body() = WriteAnswer(aAnswer);
  response.prepare_payload();
  EnterPhase(phase::kWriting);
  http::async_write(mSocket,
                    response,
                    [self = shared_from_this(),
                     keepAlive](const error_code& aError, std::size_t) {
                      if (self->mPhase != phase::kWriting) {
                        return;
                      }
                      if (aError) {
                        self->Terminate();
                        return;
                      }
                      self->OnWritten(keepAlive);
                    });
}

void
caller_connection::OnWritten(bool aKeepAlive)
{
  if (!aKeepAlive) {
    Linger();
    return;
  }
  if (mBuffers->input.size() > 0) {
    mBuffers->response = {};
    ReadHeader();
    return;
  }
  AwaitRequest();
}

void
caller_connection::Linger()
{
  // Closing while the caller is still sending would reset the connection and
  // discard the response, so incoming bytes are read and dropped for a while.
  error_code ignored;
  mSocket.shutdown(tcp::socket::shutdown_send, ignored);
  if (mPhase != phase::kLingering) {
    EnterPhase(phase::kLingering);
    mBuffers.reset();
  }
  auto dropped = std::make_shared<std::array<char, kLingerBytes>>();
  mSocket.async_read_some(asio::buffer(*dropped),
                          [self = shared_from_this(),
                           dropped](const error_code& aError, std::size_t) {
                            if (self->mPhase != phase::kLingering) {
                              return;
                            }
                            if (aError) {
                              self->Terminate();
                              return;
                            }
                            self->Linger();
                          });
}

void
caller_connection::CheckTimeout(clock::time_point aNow)
{
  // A request that arrived in time is read even if this thread is late.
  if (aNow < mTimeoutAt || (mPhase == phase::kIdle && HasUnread())) {
    return;
  }
  if (mPhase == phase::kReading && !mTimedOut) {
    // The read fails, and its handler sends the response.
    mTimedOut = true;
    mTimeoutAt = aNow + mOwner.Limits().lingerTimeout;
    mSocket.cancel();
    return;
  }
  Terminate();
}

void
caller_connection::AddTo(closed_connections& aClosed) const
{
  if (mPhase == phase::kIdle) {
    const bool isUsed = mRequestCount > 0;
    ++(HasUnread() ? aClosed.unread : isUsed ? aClosed.kept : aClosed.fresh);
  } else if (mPhase != phase::kLingering && mPhase != phase::kClosed) {
    ++aClosed.busy;
  }
}

void
caller_connection::Close()
{
  EnterPhase(phase::kClosed);
  error_code ignored;
  mSocket.close(ignored);
}

void
caller_connection::Terminate()
{
  if (mPhase == phase::kClosed) {
    return;
  }
  Close();
  if (mPendingRequest != 0) {
    mOwner.Cancel(std::exchange(mPendingRequest, 0));
  }
  mOwner.OnClosed(*this);
}

} // namespace currantshed::gateway

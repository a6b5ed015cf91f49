#ifndef CURRANTSHED_HTTP_CHANNEL_HPP
#define CURRANTSHED_HTTP_CHANNEL_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "currantshed/http/fwd.hpp"

namespace currantshed::http {

enum class method
{
  kGet,
  kPost,
  kDelete,
};

/// Upper limit of any response body, in bytes. Covers a value of 1 MiB in
/// base64 and the surrounding JSON.
constexpr std::uint64_t kMaxBodyBytes = 8ULL * 1024 * 1024;

/// One HTTP request.
struct call
{
  method verb = method::kGet;
  /// Path and query, percent-encoded.
  std::string target;
  /// Headers in addition to those sent with every request.
  std::vector<std::pair<std::string, std::string>> headers;
  /// JSON, or empty.
  std::string body;
  /// Timeout for the complete response.
  std::chrono::milliseconds timeout{ 1000 };
  /// How long a response that has begun may pause. As long as it goes on, the
  /// timeout does not end it: a repetition would begin anew, and on a slow link
  /// never be complete. Zero: the timeout holds all the same.
  std::chrono::milliseconds stallTimeout{ 0 };
  /// A response with a larger body fails, if possible before it is transferred.
  std::uint64_t maxBodyBytes = kMaxBodyBytes;
  /// Name of the response header that the caller needs, if any.
  std::string responseHeader = {};
  /// How long the request may be in progress if it is written now; zero if it
  /// must not be written any more. Evaluated when the connection is ready, so
  /// that a request is not sent on a right that ended while it waited. Bytes
  /// of such a request that are still on their way when it fails are dropped.
  /// Unset: only the timeout applies.
  std::function<std::chrono::milliseconds()> timeLeft = {};
};

/// Why no complete response was received.
enum class call_failure
{
  kNone,
  /// The request was never sent.
  kNotSent,
  /// The request may have been executed; nothing of a response arrived.
  kNoResponse,
  /// The response broke off, or paused for too long.
  kIncomplete,
  kTooLarge,
};

/// The result of one request.
struct call_result
{
  /// Unless it is kNone or kNotSent, whether the request was executed is
  /// unknown.
  call_failure failure = call_failure::kNone;
  /// The error behind the failure.
  std::error_code error;
  unsigned status = 0;
  std::string body;
  /// Value of the requested response header; empty if absent.
  std::string responseHeader;
};

/// One persistent connection to a service, opened on demand. Requests are
/// executed one at a time, in order. A request is sent at most once: the
/// channel checks before sending whether the service has closed the idle
/// connection, and leaves retries to the caller. After a failed request the
/// connection is reopened. Must be used on the thread of the io_context.
class channel
{
public:
  using callback = std::function<void(call_result)>;

  channel(boost::asio::io_context& aContext,
          std::string aAddress,
          std::uint16_t aPort);
  channel(const channel&) = delete;
  channel& operator=(const channel&) = delete;
  ~channel();

  /// Starts a request without blocking. The callback is invoked later, unless
  /// the channel is destroyed first.
  void Send(call aCall, callback aDone);

  /// Fails the request in progress and reopens the connection.
  void Reset();

private:
  class implementation;
  std::shared_ptr<implementation> mImplementation;
};

} // namespace currantshed::http

#endif

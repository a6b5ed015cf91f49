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

/// One call of a service.
struct call
{
  method verb = method::kGet;
  /// Path and query, percent-encoded.
  std::string target;
  /// Headers besides those that each call has.
  std::vector<std::pair<std::string, std::string>> headers;
  /// JSON, or nothing.
  std::string body;
  /// Time until the whole answer must be there.
  std::chrono::milliseconds timeout{ 1000 };
  /// The header of the answer that the caller wants, if any.
  std::string responseHeader = {};
};

/// The answer to one call.
struct call_result
{
  /// Set when no whole answer came: what became of the call is not known,
  /// unless notSent is set too.
  std::error_code error;
  /// No connection could be made, so that the call was never sent.
  bool notSent = false;
  unsigned status = 0;
  std::string body;
  /// What the header that the call named holds; empty where there is none.
  std::string responseHeader;
};

/// One connection to a service, made when needed and kept. Calls wait for
/// each other. A call is sent at most once, but for one that found its kept
/// connection closed before any byte of an answer, and may be repeated. After
/// a call without an answer the connection is made anew. Belongs to the thread
/// of the io_context.
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

  /// Starts a call and returns at once; the callback comes later, unless the
  /// channel is destroyed before.
  void Send(call aCall, callback aDone);

  /// Fails the call under way, and makes the connection anew.
  void Reset();

private:
  class implementation;
  std::shared_ptr<implementation> mImplementation;
};

} // namespace currantshed::http

#endif

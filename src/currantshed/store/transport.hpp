#ifndef CURRANTSHED_STORE_TRANSPORT_HPP
#define CURRANTSHED_STORE_TRANSPORT_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include <boost/asio/io_context.hpp>

#include "currantshed/store/fwd.hpp"

namespace currantshed::store {

/// The methods of HTTP that the platform's interface uses.
enum class http_method
{
  kGet,
  kPut,
};

/// One call of the platform's HTTP interface.
struct http_request
{
  http_method method = http_method::kGet;
  /// Path and query, percent-encoded.
  std::string target;
  std::string body;
  /// Time until the whole answer must be there.
  std::chrono::milliseconds timeout{ 0 };
};

/// The answer to one call.
struct http_response
{
  /// Set when no whole answer came; all else is empty then. Of the
  /// platform's category.
  std::error_code error;
  int status = 0;
  /// The header X-Consul-Index, or zero where there is none.
  std::uint64_t index = 0;
  std::string body;
};

/// Largest answer that is taken: a value of a megabyte in base64, with room
/// for what surrounds it.
constexpr std::size_t kMaxResponseBytes = 4U << 20U;

/// Carries calls to the platform. A call is sent at most once: nothing below
/// this interface repeats one whose answer is missing.
class transport
{
public:
  using callback = std::function<void(http_response)>;

  virtual ~transport() = default;

  /// Starts a call and returns at once. The callback runs once, later, unless
  /// the transport is destroyed before.
  virtual void Send(http_request aRequest, callback aDone) = 0;
};

/// Makes a transport over libcurl on the given event loop. The base is scheme,
/// address and port, as in http://127.0.0.1:8500.
[[nodiscard]] std::unique_ptr<transport>
MakeCurlTransport(boost::asio::io_context& aLoop, std::string aBaseUrl);

} // namespace currantshed::store

#endif

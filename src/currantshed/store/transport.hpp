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

/// HTTP methods that the platform's interface uses.
enum class http_method
{
  kGet,
  kPut,
};

/// A request to the platform's HTTP interface.
struct http_request
{
  http_method method = http_method::kGet;
  /// Path and query, percent-encoded.
  std::string target;
  std::string body;
  /// Time limit for the complete response.
  std::chrono::milliseconds timeout{ 0 };
};

/// The response to a request.
struct http_response
{
  /// Set if no complete response arrived; all other members are empty then. Of
  /// StoreCategory().
  std::error_code error;
  int status = 0;
  /// Value of the header X-Consul-Index; zero if it is absent.
  std::uint64_t index = 0;
  std::string body;
};

/// Maximum size of a response body: a value of 1 MiB in base64, with room for
/// the surrounding JSON.
constexpr std::size_t kMaxResponseBytes = 4U << 20U;

/// Sends HTTP requests to the platform. Each request is sent at most once:
/// neither the transport nor anything below it retries a request whose response
/// is missing.
class transport
{
public:
  using callback = std::function<void(http_response)>;

  virtual ~transport() = default;

  /// Starts a request and returns immediately. The callback runs once, later,
  /// unless the transport is destroyed first.
  virtual void Send(http_request aRequest, callback aDone) = 0;
};

/// Makes a transport over libcurl on the given event loop. The base URL
/// consists of scheme, address and port, as in http://127.0.0.1:8500.
[[nodiscard]] std::unique_ptr<transport>
MakeCurlTransport(boost::asio::io_context& aLoop, std::string aBaseUrl);

} // namespace currantshed::store

#endif

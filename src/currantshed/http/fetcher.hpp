#ifndef CURRANTSHED_HTTP_FETCHER_HPP
#define CURRANTSHED_HTTP_FETCHER_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "currantshed/http/fwd.hpp"

namespace currantshed::http {

/// The result of one GET.
struct fetch_result
{
  /// HTTP status; zero if no complete response was received.
  long status = 0;
  std::string body;
  /// Error message if there is no response.
  std::string error;
};

/// Fetches many URLs concurrently. Blocks, and is meant for command-line tools.
class fetcher
{
public:
  virtual ~fetcher() = default;

  /// Sends a GET to every URL and returns the results in the same order once
  /// all requests have completed or timed out.
  [[nodiscard]] virtual std::vector<fetch_result> Fetch(
    const std::vector<std::string>& aUrls,
    std::chrono::milliseconds aTimeout) = 0;
};

/// Creates a fetcher based on libcurl. A response larger than 16 MiB fails.
[[nodiscard]] std::unique_ptr<fetcher>
MakeCurlFetcher();

/// Builds the URL of a path at an IP address and port; an IPv6 address is put
/// in brackets.
[[nodiscard]] std::string
MakeUrl(const std::string& aAddress,
        std::uint16_t aPort,
        const std::string& aPath);

} // namespace currantshed::http

#endif

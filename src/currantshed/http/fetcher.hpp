#ifndef CURRANTSHED_HTTP_FETCHER_HPP
#define CURRANTSHED_HTTP_FETCHER_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "currantshed/http/fwd.hpp"

namespace currantshed::http {

/// What one GET brought.
struct fetch_result
{
  /// Zero when no whole answer came.
  long status = 0;
  std::string body;
  /// Why there is no answer.
  std::string error;
};

/// Reads many addresses by HTTP at once; for tools, since it blocks.
class fetcher
{
public:
  virtual ~fetcher() = default;

  /// GETs every URL and returns the answers in the same order, once all have
  /// ended or run out of time.
  [[nodiscard]] virtual std::vector<fetch_result> Fetch(
    const std::vector<std::string>& aUrls,
    std::chrono::milliseconds aTimeout) = 0;
};

/// Makes a fetcher over libcurl. An answer larger than a few megabytes counts
/// as none.
[[nodiscard]] std::unique_ptr<fetcher>
MakeCurlFetcher();

/// The URL of a path at an IP number and port; an IPv6 number is put into
/// brackets.
[[nodiscard]] std::string
MakeUrl(const std::string& aAddress,
        std::uint16_t aPort,
        const std::string& aPath);

} // namespace currantshed::http

#endif

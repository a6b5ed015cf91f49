#ifndef CURRANTSHED_HTTP_STATUS_RESPONSE_HPP
#define CURRANTSHED_HTTP_STATUS_RESPONSE_HPP

#include <string>
#include <string_view>

#include <prometheus/registry.h>

#include "currantshed/http/fwd.hpp"

namespace currantshed::http {

/// Provides the status of a process. Called on the thread of the status server,
/// so implementations must be thread-safe.
struct status_source
{
  virtual ~status_source() = default;

  /// Whether the process currently accepts new work.
  [[nodiscard]] virtual bool Ready() const = 0;

  /// Path of the readiness check.
  [[nodiscard]] virtual std::string_view ReadyPath() const { return "/readyz"; }

  /// The status of the process as one JSON object.
  [[nodiscard]] virtual std::string StatusJson() const = 0;
};

/// Response to one request at the status port.
struct status_response
{
  unsigned status = 0;
  std::string contentType;
  std::string body;
};

/// Handles a request for a path; aIsRead tells whether its method is GET or
/// HEAD.
[[nodiscard]] status_response
HandleStatusRequest(bool aIsRead,
                    std::string_view aTarget,
                    const prometheus::Registry& aMetrics,
                    const status_source& aSource);

} // namespace currantshed::http

#endif

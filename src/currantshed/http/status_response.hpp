#ifndef CURRANTSHED_HTTP_STATUS_RESPONSE_HPP
#define CURRANTSHED_HTTP_STATUS_RESPONSE_HPP

#include <string>
#include <string_view>

#include <prometheus/registry.h>

#include "currantshed/http/fwd.hpp"

namespace currantshed::http {

/// What a process tells about itself. Called on the thread of the status
/// server, so it must be safe for use by several threads.
struct status_source
{
  virtual ~status_source() = default;

  /// Whether the process takes new work now.
  [[nodiscard]] virtual bool Ready() const = 0;

  /// The path that tells whether the process takes new work.
  [[nodiscard]] virtual std::string_view ReadyPath() const { return "/readyz"; }

  /// One JSON object that describes the process.
  [[nodiscard]] virtual std::string StatusJson() const = 0;
};

/// The answer to one request at the status port.
struct status_response
{
  unsigned status = 0;
  std::string contentType;
  std::string body;
};

/// The answer to a GET or HEAD (aIsRead) of a path, or to another method.
[[nodiscard]] status_response
HandleStatusRequest(bool aIsRead,
                    std::string_view aTarget,
                    const prometheus::Registry& aMetrics,
                    const status_source& aSource);

} // namespace currantshed::http

#endif

#include "currantshed/http/status_response.hpp"

#include <prometheus/text_serializer.h>

namespace currantshed::http {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kUnavailable = 503;
constexpr const char* kPlain = "text/plain; charset=utf-8";
constexpr const char* kPrometheus = "text/plain; version=0.0.4; charset=utf-8";
constexpr const char* kJson = "application/json";

} // namespace

status_response
HandleStatusRequest(bool aIsRead,
                    std::string_view aTarget,
                    const prometheus::Registry& aMetrics,
                    const status_source& aSource)
{
  if (!aIsRead) {
    return { kMethodNotAllowed, kPlain, "only GET and HEAD\n" };
  }
  const auto path = aTarget.substr(0, aTarget.find('?'));
  if (path == "/livez") {
    return { kOk, kPlain, "ok\n" };
  }
  if (path == aSource.ReadyPath()) {
    if (aSource.Ready()) {
      return { kOk, kPlain, "ready\n" };
    }
    return { kUnavailable, kPlain, "not ready\n" };
  }
  if (path == "/status") {
    return { kOk, kJson, aSource.StatusJson() };
  }
  if (path == "/metrics") {
    const prometheus::TextSerializer serializer;
    return { kOk, kPrometheus, serializer.Serialize(aMetrics.Collect()) };
  }
  return { kNotFound,
           kPlain,
           "no such path; there are /metrics, /livez, /readyz and /status\n" };
}

} // namespace currantshed::http

#ifndef CURRANTSHED_STANDIN_UPSTREAM_CONTROL_CALLS_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_CONTROL_CALLS_HPP

#include <string>
#include <string_view>

namespace currantshed::standin::postgres {

class server;

/// Result status of a call at the control port.
enum class call_status
{
  kDone,
  /// The call exists, but its parameters are invalid.
  kInvalid,
  kUnknown,
};

struct call_result
{
  call_status status = call_status::kDone;
  /// JSON.
  std::string text;
};

/// Executes one call, given by its path and query. Calls that set something use
/// POST (aIsPost is true), all others GET.
[[nodiscard]] call_result
AnswerCall(server& aServer, bool aIsPost, std::string_view aTarget);

} // namespace currantshed::standin::postgres

#endif

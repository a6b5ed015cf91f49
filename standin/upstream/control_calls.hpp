#ifndef CURRANTSHED_STANDIN_UPSTREAM_CONTROL_CALLS_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_CONTROL_CALLS_HPP

#include <string>
#include <string_view>

namespace currantshed::standin::postgres {

class server;

/// How a call at the control port ended.
enum class call_status
{
  kDone,
  /// The call is there, but not with these values.
  kWrong,
  kUnknown,
};

struct call_result
{
  call_status status = call_status::kDone;
  /// JSON.
  std::string text;
};

/// Carries out one call, given by path and query; one that orders something
/// is a POST, any other a GET.
[[nodiscard]] call_result
AnswerCall(server& aServer, bool aOrders, std::string_view aTarget);

} // namespace currantshed::standin::postgres

#endif

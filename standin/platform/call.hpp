#ifndef CURRANTSHED_STANDIN_PLATFORM_CALL_HPP
#define CURRANTSHED_STANDIN_PLATFORM_CALL_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <absl/container/btree_map.h>

namespace currantshed::standin {

/// The kinds of calls, which are counted separately.
enum class call_kind
{
  kRead,
  /// A blocking read that may wait for a change.
  kWatch,
  kList,
  kWrite,
  /// Creating, renewing or destroying a session.
  kSession,
  /// A call to the stand-in's control interface; not counted, and not subject
  /// to injected faults.
  kControl,
};

/// Number of kinds that are counted.
constexpr std::size_t kCountedKinds = 5;

/// A parsed request.
struct call
{
  std::string method;
  /// Percent-decoded.
  std::string path;
  /// Percent-decoded; the value is empty for a name without one.
  absl::btree_map<std::string, std::string> query;
  std::string body;

  /// The numeric value of a query parameter, if present and valid.
  [[nodiscard]] std::optional<std::uint64_t> Number(
    std::string_view aName) const;
  /// The value of a query parameter; empty if absent.
  [[nodiscard]] std::string Text(std::string_view aName) const;
};

/// The response to a call.
struct answer
{
  int status = 200;
  std::string body;
  /// Sent as X-Consul-Index unless zero.
  std::uint64_t index = 0;
};

/// Parses a request; none if its target is malformed.
[[nodiscard]] std::optional<call>
ParseCall(std::string_view aMethod, std::string_view aTarget);

[[nodiscard]] call_kind
ClassifyCall(const call& aCall);

} // namespace currantshed::standin

#endif

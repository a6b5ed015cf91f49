#ifndef CURRANTSHED_STANDIN_PLATFORM_CALL_HPP
#define CURRANTSHED_STANDIN_PLATFORM_CALL_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <absl/container/btree_map.h>

namespace currantshed::standin {

/// What a call costs the platform.
enum class call_kind
{
  kRead,
  /// A read that may wait for a change.
  kWatch,
  kList,
  kWrite,
  /// Opening, renewing or ending a session.
  kSession,
  /// A call to the stand-in itself; not counted, and no fault strikes it.
  kControl,
};

/// Number of kinds that are counted.
constexpr std::size_t kCountedKinds = 5;

/// One request, taken apart.
struct call
{
  std::string method;
  /// Percent-decoded.
  std::string path;
  /// Percent-decoded; a name without a value has an empty one.
  absl::btree_map<std::string, std::string> query;
  std::string body;

  /// The number given by a name of the query, if there is one.
  [[nodiscard]] std::optional<std::uint64_t> Number(
    std::string_view aName) const;
  /// The text given by a name of the query, or an empty one.
  [[nodiscard]] std::string Text(std::string_view aName) const;
};

/// What is sent back.
struct answer
{
  int status = 200;
  std::string body;
  /// Sent as X-Consul-Index unless zero.
  std::uint64_t index = 0;
};

/// Takes a request apart; none if its target isn't well formed.
[[nodiscard]] std::optional<call>
ParseCall(std::string_view aMethod, std::string_view aTarget);

[[nodiscard]] call_kind
ClassifyCall(const call& aCall);

} // namespace currantshed::standin

#endif

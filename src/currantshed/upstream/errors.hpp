#ifndef CURRANTSHED_UPSTREAM_ERRORS_HPP
#define CURRANTSHED_UPSTREAM_ERRORS_HPP

#include <string_view>
#include <system_error>

namespace currantshed::upstream {

/// Errors of a connection to a database server.
enum class errc
{
  /// The server was unreachable or rejected the connection.
  kConnectFailed = 1,
  /// The server is at its connection limit.
  kTooManyConnections,
  /// The connection was not established before the timeout.
  kConnectTimeout,
  /// An established connection was lost.
  kConnectionLost,
  /// An answer exceeded its size limit.
  kAnswerTooLarge,
  /// The server violated the protocol.
  kProtocol,
};

[[nodiscard]] const std::error_category&
UpstreamCategory() noexcept;

[[nodiscard]] std::error_code
make_error_code(errc aError) noexcept;

/// Maps libpq's message for a connection that failed to open, or was lost, to
/// an errc. libpq has neither an error code for connections nor a SQLSTATE for
/// a rejected one, so the message text is the only information.
[[nodiscard]] std::error_code
ClassifyConnectionError(std::string_view aMessage, bool aWasOpen) noexcept;

} // namespace currantshed::upstream

template<>
struct std::is_error_code_enum<currantshed::upstream::errc> : std::true_type
{
};

#endif

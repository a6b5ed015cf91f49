#ifndef CURRANTSHED_UPSTREAM_ERRORS_HPP
#define CURRANTSHED_UPSTREAM_ERRORS_HPP

#include <string_view>
#include <system_error>

namespace currantshed::upstream {

/// Why a connection to a database server can't be used.
enum class errc
{
  /// The server could not be reached, or refused the connection.
  kConnectFailed = 1,
  /// The server has as many connections as it accepts.
  kTooManyConnections,
  /// The server did not accept the connection in time.
  kConnectTimeout,
  /// An open connection broke.
  kConnectionLost,
  /// An answer passed the limit on its size.
  kAnswerTooLarge,
  /// The server did not keep to the protocol.
  kProtocol,
};

/// The category of errc.
[[nodiscard]] const std::error_category&
UpstreamCategory() noexcept;

[[nodiscard]] std::error_code
make_error_code(errc aError) noexcept;

/// Turns libpq's word on a connection that failed to open, or broke, into an
/// error of this module: libpq has no error codes for connections, and no
/// SQLSTATE for a refused one, so the server's text is all there is.
[[nodiscard]] std::error_code
ClassifyConnectionError(std::string_view aMessage, bool aWasOpen) noexcept;

} // namespace currantshed::upstream

template<>
struct std::is_error_code_enum<currantshed::upstream::errc> : std::true_type
{
};

#endif

#ifndef CURRANTSHED_SESSION_TOKEN_HPP
#define CURRANTSHED_SESSION_TOKEN_HPP

#include <string>
#include <string_view>
#include <system_error>

#include "currantshed/session/fwd.hpp"

namespace currantshed::session {

/// What a caller sends in place of a token for a session that begins: it has
/// seen nothing yet, so that any replica will do.
inline constexpr std::string_view kNewSession = "new";

/// Makes the token that callers carry from one request to the next.
[[nodiscard]] std::string
MakeToken(const position_vector& aSeen, const key_ring& aKeys);

/// Reads a token, or kNewSession as a session that has seen nothing; any
/// error of session_error when it isn't one that these keys made. aSeen is
/// left alone on error.
[[nodiscard]] std::error_code
ReadToken(std::string_view aToken,
          const key_ring& aKeys,
          position_vector& aSeen);

} // namespace currantshed::session

#endif

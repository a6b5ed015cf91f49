#ifndef CURRANTSHED_SESSION_TOKEN_HPP
#define CURRANTSHED_SESSION_TOKEN_HPP

#include <string>
#include <string_view>
#include <system_error>

#include "currantshed/session/fwd.hpp"

namespace currantshed::session {

/// Sent by callers instead of a token to begin a session. A new session has
/// seen nothing, so that any replica can serve its reads.
inline constexpr std::string_view kNewSession = "new";

/// Creates the session token, which callers return with each next request.
[[nodiscard]] std::string
MakeToken(const position_vector& aSeen, const key_ring& aKeys);

/// Decodes a token, or kNewSession as an empty vector. Returns an error of
/// session_error if the token was not made with these keys. aSeen is unchanged
/// on error.
[[nodiscard]] std::error_code
ReadToken(std::string_view aToken,
          const key_ring& aKeys,
          position_vector& aSeen);

} // namespace currantshed::session

#endif

#include "currantshed/session/token.hpp"

#include "currantshed/session/key_ring.hpp"
#include "currantshed/session/position_vector.hpp"

namespace currantshed::session {

std::string
MakeToken(const position_vector& aSeen, const key_ring& aKeys)
{
  return aKeys.Sign(token_purpose::kSession, aSeen.Encode());
}

std::error_code
ReadToken(std::string_view aToken,
          const key_ring& aKeys,
          position_vector& aSeen)
{
  if (aToken == kNewSession) {
    aSeen = {};
    return {};
  }
  std::string content;
  if (const auto error =
        aKeys.Verify(token_purpose::kSession, aToken, content)) {
    return error;
  }
  return aSeen.Decode(content);
}

} // namespace currantshed::session

#include "currantshed/gateway/error.hpp"
#include "currantshed/gateway/exchange.hpp"
#include "currantshed/gateway/filter.hpp"
#include "currantshed/gateway/shared_state.hpp"
#include "currantshed/session/token.hpp"

namespace currantshed::gateway {

namespace {

/// Whether the response rejects the session token itself; then it carries no
/// new token.
bool
TokenRefused(const caller_answer& aAnswer)
{
  return aAnswer.fault == gateway_error::kMalformedToken ||
         aAnswer.fault == gateway_error::kUntrustedToken ||
         aAnswer.fault == gateway_error::kBadTokenSignature;
}

class sign_token final : public filter
{
public:
  explicit sign_token(shared_state& aState)
    : mState(aState)
  {
  }

  step Back(exchange& aExchange, clock::time_point /*aNow*/) override
  {
    if (!TokenRefused(aExchange.answer)) {
      aExchange.answer.session =
        session::MakeToken(aExchange.seen, mState.keys);
    }
    return step::kBack;
  }

private:
  shared_state& mState;
};

} // namespace

std::unique_ptr<filter>
MakeSignToken(shared_state& aState)
{
  return std::make_unique<sign_token>(aState);
}

} // namespace currantshed::gateway

#include "currantshed/gateway/error.hpp"
#include "currantshed/gateway/exchange.hpp"
#include "currantshed/gateway/filter.hpp"
#include "currantshed/gateway/shared_state.hpp"
#include "currantshed/session/token.hpp"

namespace currantshed::gateway {

namespace {

class verify_token final : public filter
{
public:
  explicit verify_token(shared_state& aState)
    : mState(aState)
  {
  }

  step Forward(exchange& aExchange, clock::time_point /*aNow*/) override
  {
    const auto& token = aExchange.request.session;
    if (!token) {
      // Without a token, the positions that the caller has seen are unknown.
      aExchange.seen.MarkIncomplete();
      return step::kForward;
    }
    if (const auto error =
          session::ReadToken(*token, mState.keys, aExchange.seen)) {
      aExchange.answer = Refuse(FromTokenError(error));
      return step::kBack;
    }
    return step::kForward;
  }

private:
  shared_state& mState;
};

} // namespace

std::unique_ptr<filter>
MakeVerifyToken(shared_state& aState)
{
  return std::make_unique<verify_token>(aState);
}

} // namespace currantshed::gateway

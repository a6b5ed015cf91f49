#include "currantshed/gateway/filter.hpp"

namespace currantshed::gateway {

step
filter::Forward(exchange& /*aExchange*/, clock::time_point /*aNow*/)
{
  return step::kForward;
}

step
filter::Back(exchange& /*aExchange*/, clock::time_point /*aNow*/)
{
  return step::kBack;
}

} // namespace currantshed::gateway

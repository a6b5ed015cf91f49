#include "currantshed/gateway/pooler_health.hpp"

namespace currantshed::gateway {

void
pooler_health::Heard(const std::string& aVm, clock::time_point aNow)
{
  mWords[aVm] = { aNow, {} };
}

clock::time_point
pooler_health::LastHeard(const std::string& aVm) const
{
  const auto found = mWords.find(aVm);
  return found == mWords.end() ? clock::time_point{} : found->second.heard;
}

void
pooler_health::Suspect(const std::string& aVm, clock::time_point aUntil)
{
  mWords[aVm].suspectUntil = aUntil;
}

bool
pooler_health::Suspected(const std::string& aVm, clock::time_point aNow) const
{
  const auto found = mWords.find(aVm);
  return found != mWords.end() && aNow < found->second.suspectUntil;
}

} // namespace currantshed::gateway

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

void
pooler_health::SuspectFor(const group::group_name& aGroup,
                          const std::string& aVm,
                          clock::time_point aUntil)
{
  mCutOff[{ aGroup, aVm }] = aUntil;
}

bool
pooler_health::Suspected(const group::group_name& aGroup,
                         const std::string& aVm,
                         clock::time_point aNow) const
{
  const auto known = mWords.find(aVm);
  if (known != mWords.end() && aNow < known->second.suspectUntil) {
    return true;
  }
  const auto cutOff = mCutOff.find({ aGroup, aVm });
  return cutOff != mCutOff.end() && aNow < cutOff->second;
}

} // namespace currantshed::gateway

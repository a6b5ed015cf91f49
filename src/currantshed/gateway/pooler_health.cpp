#include "currantshed/gateway/pooler_health.hpp"

namespace currantshed::gateway {

void
pooler_health::RecordReply(const std::string& aVm, clock::time_point aNow)
{
  mPoolers[aVm] = { aNow, {} };
}

clock::time_point
pooler_health::LastReplyAt(const std::string& aVm) const
{
  const auto found = mPoolers.find(aVm);
  return found == mPoolers.end() ? clock::time_point{}
                                 : found->second.lastReplyAt;
}

void
pooler_health::MarkSuspect(const std::string& aVm, clock::time_point aUntil)
{
  mPoolers[aVm].suspectUntil = aUntil;
}

void
pooler_health::MarkSuspectForGroup(const group::group_name& aGroup,
                                   const std::string& aVm,
                                   clock::time_point aUntil)
{
  mGroupSuspects[{ aGroup, aVm }] = aUntil;
}

bool
pooler_health::IsSuspect(const group::group_name& aGroup,
                         const std::string& aVm,
                         clock::time_point aNow) const
{
  const auto known = mPoolers.find(aVm);
  if (known != mPoolers.end() && aNow < known->second.suspectUntil) {
    return true;
  }
  const auto suspect = mGroupSuspects.find({ aGroup, aVm });
  return suspect != mGroupSuspects.end() && aNow < suspect->second;
}

} // namespace currantshed::gateway

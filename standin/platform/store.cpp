#include "standin/platform/store.hpp"

#include <utility>

#include <absl/strings/str_format.h>

namespace currantshed::standin {

const stored_value*
store::Find(const std::string& aKey) const
{
  const auto found = mValues.find(aKey);
  return found == mValues.end() ? nullptr : &found->second;
}

std::uint64_t
store::Index() const noexcept
{
  return mIndex;
}

bool
store::Put(const std::string& aKey,
           std::string aValue,
           std::optional<std::uint64_t> aExpected)
{
  const auto* present = Find(aKey);
  const std::uint64_t index = present != nullptr ? present->modifyIndex : 0;
  if (aExpected && *aExpected != index) {
    return false;
  }
  Write(aKey, std::move(aValue));
  return true;
}

bool
store::Acquire(const std::string& aKey,
               std::string aValue,
               const std::string& aSession)
{
  const auto* present = Find(aKey);
  const std::string holder = present != nullptr ? present->session : "";
  if (!mSessions.contains(aSession)) {
    return false;
  }
  if (!holder.empty() && holder != aSession) {
    return false;
  }
  auto& written = Write(aKey, std::move(aValue));
  if (holder.empty()) {
    ++written.lockIndex;
    written.session = aSession;
  }
  return true;
}

bool
store::Release(const std::string& aKey,
               std::string aValue,
               const std::string& aSession)
{
  const auto* present = Find(aKey);
  if (present == nullptr || aSession.empty() || present->session != aSession) {
    return false;
  }
  Write(aKey, std::move(aValue)).session.clear();
  return true;
}

std::string
store::CreateSession(std::chrono::milliseconds aTtl, clock::time_point aNow)
{
  auto id = absl::StrFormat("00000000-0000-4000-8000-%012x", ++mSessionCount);
  mSessions[id] = session{ aTtl, aNow + aTtl };
  return id;
}

bool
store::RenewSession(const std::string& aSession, clock::time_point aNow)
{
  const auto found = mSessions.find(aSession);
  if (found == mSessions.end()) {
    return false;
  }
  found->second.expires = aNow + found->second.ttl;
  return true;
}

std::vector<std::string>
store::DestroySession(const std::string& aSession)
{
  std::vector<std::string> released;
  if (mSessions.erase(aSession) == 0) {
    return released;
  }
  for (auto& [key, value] : mValues) {
    if (value.session == aSession) {
      value.session.clear();
      value.modifyIndex = ++mIndex;
      released.push_back(key);
    }
  }
  return released;
}

std::vector<std::string>
store::ExpireSessions(clock::time_point aNow)
{
  std::vector<std::string> ended;
  for (const auto& [id, open] : mSessions) {
    if (open.ttl.count() > 0 && open.expires <= aNow) {
      ended.push_back(id);
    }
  }
  std::vector<std::string> released;
  for (const auto& id : ended) {
    auto keys = DestroySession(id);
    released.insert(released.end(), keys.begin(), keys.end());
  }
  return released;
}

stored_value&
store::Write(const std::string& aKey, std::string aValue)
{
  auto& written = mValues[aKey];
  written.value = std::move(aValue);
  written.modifyIndex = ++mIndex;
  if (written.createIndex == 0) {
    written.createIndex = mIndex;
  }
  return written;
}

} // namespace currantshed::standin

#include "standin/fleet/keys.hpp"

#include <absl/strings/escaping.h>

namespace currantshed::standin::fleet {

namespace {

namespace json = boost::json;

// How long snapshots are kept.
constexpr std::chrono::seconds kSnapshotRetention{ 10 };

bool
StartsWith(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

std::string
Text(const json::object& aObject, const char* aName)
{
  return json::value_to<std::string>(aObject.at(aName));
}

} // namespace

void
keys::Put(const std::string& aKey,
          const std::string& aValue,
          std::uint64_t aLease)
{
  auto& stored = mState.entries[aKey];
  stored = { aValue, ++mState.revision, aLease };
  mHistory.push_back({ aKey, mState.revision, false, stored });
}

void
keys::Remove(const std::string& aKey)
{
  if (mState.entries.erase(aKey) != 0) {
    mHistory.push_back({ aKey, ++mState.revision, true, {} });
  }
}

json::object
keys::ToJson(const std::string& aKey, const entry& aEntry)
{
  return { { "key", aKey },
           { "value", absl::Base64Escape(aEntry.value) },
           { "revision", aEntry.modRevision },
           { "created", aEntry.modRevision },
           { "lease_id", aEntry.lease } };
}

key_answer
keys::Get(const std::string& aKey) const
{
  const auto found = mState.entries.find(aKey);
  if (found == mState.entries.end()) {
    return { 404, {} };
  }
  auto body = ToJson(aKey, found->second);
  body["store_revision"] = mState.revision;
  return { 200, std::move(body) };
}

key_answer
keys::Range(const std::string& aPrefix) const
{
  json::array items;
  for (const auto& [key, one] : mState.entries) {
    if (StartsWith(key, aPrefix)) {
      items.push_back(ToJson(key, one));
    }
  }
  return { 200,
           { { "items", std::move(items) },
             { "has_more", false },
             { "store_revision", mState.revision } } };
}

key_answer
keys::Changes(const std::string& aPrefix, std::uint64_t aAfter) const
{
  if (aAfter > mState.revision) {
    return { 410, {} };
  }
  json::array events;
  for (const auto& one : mHistory) {
    if (one.revision <= aAfter || !StartsWith(one.key, aPrefix)) {
      continue;
    }
    events.push_back(one.removed ? json::object{ { "key", one.key },
                                                 { "revision", one.revision },
                                                 { "deleted", true } }
                                 : ToJson(one.key, one.content));
  }
  const unsigned status = events.empty() ? 0 : 200;
  return { status,
           { { "events", std::move(events) },
             { "store_revision", mState.revision } } };
}

key_answer
keys::Commit(const json::object& aTransaction)
{
  for (const auto& one : aTransaction.at("expected_rev").as_array()) {
    const auto& condition = one.as_object();
    const auto found = mState.entries.find(Text(condition, "key"));
    const auto modRevision =
      found == mState.entries.end() ? 0 : found->second.modRevision;
    if (modRevision != condition.at("revision").to_number<std::uint64_t>()) {
      return { 412, { { "items", json::array{} } } };
    }
  }
  for (const auto& one : aTransaction.at("puts").as_array()) {
    const auto lease =
      one.as_object().at("lease_id").to_number<std::uint64_t>();
    if (lease != 0 && !mState.leases.contains(lease)) {
      return { 404, {} };
    }
  }
  for (const auto& one : aTransaction.at("puts").as_array()) {
    const auto& put = one.as_object();
    std::string value;
    absl::Base64Unescape(Text(put, "value"), &value);
    Put(Text(put, "key"), value, put.at("lease_id").to_number<std::uint64_t>());
  }
  for (const auto& one : aTransaction.at("remove").as_array()) {
    Remove(json::value_to<std::string>(one));
  }
  return { 200, { { "revision", mState.revision } } };
}

key_answer
keys::GrantLease(std::int64_t aTtlMs, time_point aNow)
{
  const std::chrono::milliseconds ttl{ aTtlMs };
  mState.leases[++mState.lastLease] = { ttl, aNow + ttl };
  return { 200, { { "lease_id", mState.lastLease }, { "ttl_ms", aTtlMs } } };
}

key_answer
keys::KeepAlive(std::uint64_t aLease, time_point aNow)
{
  const auto found = mState.leases.find(aLease);
  if (found == mState.leases.end()) {
    return { 404, {} };
  }
  found->second.until = aNow + found->second.ttl;
  return { 200, { { "ttl_ms", found->second.ttl.count() } } };
}

void
keys::RevokeLease(std::uint64_t aLease)
{
  mState.leases.erase(aLease);
  std::vector<std::string> held;
  for (const auto& [key, one] : mState.entries) {
    if (one.lease == aLease) {
      held.push_back(key);
    }
  }
  for (const auto& key : held) {
    Remove(key);
  }
}

void
keys::Expire(time_point aNow)
{
  std::vector<std::uint64_t> ended;
  for (const auto& [id, one] : mState.leases) {
    if (aNow >= one.until) {
      ended.push_back(id);
    }
  }
  for (const auto id : ended) {
    RevokeLease(id);
  }
}

void
keys::TakeSnapshot(time_point aNow)
{
  mSnapshots.push_back({ aNow, mState });
  while (mSnapshots.front().at < aNow - kSnapshotRetention) {
    mSnapshots.pop_front();
  }
}

void
keys::Restore(std::chrono::milliseconds aAge, time_point aNow)
{
  while (mSnapshots.size() > 1 && mSnapshots.back().at > aNow - aAge) {
    mSnapshots.pop_back();
  }
  if (!mSnapshots.empty()) {
    mState = mSnapshots.back().contents;
  }
  for (auto& [id, one] : mState.leases) {
    one.until = aNow + one.ttl;
  }
  std::erase_if(mHistory, [this](const auto& aEvent) {
    return aEvent.revision > mState.revision;
  });
  ++mEra;
}

} // namespace currantshed::standin::fleet

#include "standin/fleet/keys.hpp"

#include <absl/strings/escaping.h>

namespace currantshed::standin::fleet {

namespace {

namespace json = boost::json;

bool
StartsWith(const std::string& aText, const std::string& aWith)
{
  return aText.compare(0, aWith.size(), aWith) == 0;
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
  auto& place = mEntries[aKey];
  place = { aValue, ++mRevision, aLease };
  mHistory.push_back({ aKey, mRevision, false, place });
}

void
keys::Remove(const std::string& aKey)
{
  if (mEntries.erase(aKey) != 0) {
    mHistory.push_back({ aKey, ++mRevision, true, {} });
  }
}

json::object
keys::Print(const std::string& aKey, const entry& aEntry)
{
  return { { "key", aKey },
           { "value", absl::Base64Escape(aEntry.value) },
           { "revision", aEntry.changed },
           { "created", aEntry.changed },
           { "lease_id", aEntry.lease } };
}

key_answer
keys::Get(const std::string& aKey) const
{
  const auto found = mEntries.find(aKey);
  if (found == mEntries.end()) {
    return { 404, {} };
  }
  auto body = Print(aKey, found->second);
  body["store_revision"] = mRevision;
  return { 200, std::move(body) };
}

key_answer
keys::Range(const std::string& aPrefix) const
{
  json::array items;
  for (const auto& [key, one] : mEntries) {
    if (StartsWith(key, aPrefix)) {
      items.push_back(Print(key, one));
    }
  }
  return { 200,
           { { "items", std::move(items) },
             { "has_more", false },
             { "store_revision", mRevision } } };
}

key_answer
keys::Changes(const std::string& aPrefix, std::uint64_t aAfter) const
{
  json::array events;
  for (const auto& one : mHistory) {
    if (one.revision <= aAfter || !StartsWith(one.key, aPrefix)) {
      continue;
    }
    events.push_back(one.removed ? json::object{ { "key", one.key },
                                                 { "revision", one.revision },
                                                 { "deleted", true } }
                                 : Print(one.key, one.content));
  }
  const unsigned status = events.empty() ? 0 : 200;
  return {
    status, { { "events", std::move(events) }, { "store_revision", mRevision } }
  };
}

key_answer
keys::Commit(const json::object& aWhat)
{
  for (const auto& one : aWhat.at("expected_rev").as_array()) {
    const auto& condition = one.as_object();
    const auto found = mEntries.find(Text(condition, "key"));
    const auto changed = found == mEntries.end() ? 0 : found->second.changed;
    if (changed != condition.at("revision").to_number<std::uint64_t>()) {
      return { 412, { { "items", json::array{} } } };
    }
  }
  for (const auto& one : aWhat.at("puts").as_array()) {
    const auto lease =
      one.as_object().at("lease_id").to_number<std::uint64_t>();
    if (lease != 0 && !mLeases.contains(lease)) {
      return { 404, {} };
    }
  }
  for (const auto& one : aWhat.at("puts").as_array()) {
    const auto& put = one.as_object();
    std::string value;
    absl::Base64Unescape(Text(put, "value"), &value);
    Put(Text(put, "key"), value, put.at("lease_id").to_number<std::uint64_t>());
  }
  for (const auto& one : aWhat.at("remove").as_array()) {
    Remove(json::value_to<std::string>(one));
  }
  return { 200, { { "revision", mRevision } } };
}

key_answer
keys::Grant(std::int64_t aTtlMs, time_point aNow)
{
  const std::chrono::milliseconds ttl{ aTtlMs };
  mLeases[++mLastLease] = { ttl, aNow + ttl };
  return { 200, { { "lease_id", mLastLease }, { "ttl_ms", aTtlMs } } };
}

key_answer
keys::Keep(std::uint64_t aLease, time_point aNow)
{
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end()) {
    return { 404, {} };
  }
  found->second.until = aNow + found->second.ttl;
  return { 200, { { "ttl_ms", found->second.ttl.count() } } };
}

void
keys::End(std::uint64_t aLease)
{
  mLeases.erase(aLease);
  std::vector<std::string> held;
  for (const auto& [key, one] : mEntries) {
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
  for (const auto& [id, one] : mLeases) {
    if (aNow >= one.until) {
      ended.push_back(id);
    }
  }
  for (const auto id : ended) {
    End(id);
  }
}

} // namespace currantshed::standin::fleet

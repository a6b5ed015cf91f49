#include "standin/platform/service.hpp"

#include <utility>

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <absl/time/time.h>
#include <boost/json.hpp>

namespace currantshed::standin {

namespace {

namespace json = boost::json;

constexpr char kKeyPrefix[] = "/v1/kv/";
constexpr char kCreatePath[] = "/v1/session/create";
constexpr char kRenewPrefix[] = "/v1/session/renew/";
constexpr char kDestroyPrefix[] = "/v1/session/destroy/";
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;

answer
ErrorAnswer(int aStatus, std::string aWhy)
{
  return answer{ aStatus, std::move(aWhy), 0 };
}

answer
BooleanAnswer(bool aValue)
{
  return answer{ 200, aValue ? "true" : "false", 0 };
}

answer
NoSuchPath()
{
  return ErrorAnswer(kNotFound, "no such path");
}

/// Parses the outage mode of a control call; false if it is invalid.
bool
ReadOutage(const call& aCall, outage& aOutage)
{
  const auto state = aCall.Text("outage");
  const auto mode = aCall.Text("mode");
  if (state.empty()) {
    return mode.empty();
  }
  if (state == "off") {
    aOutage = outage::kNone;
    return true;
  }
  if (state != "on" || !(mode.empty() || mode == "hang" || mode == "error")) {
    return false;
  }
  aOutage = mode == "error" ? outage::kError : outage::kHang;
  return true;
}

/// Parses the time to live in the body of a session request; zero if none is
/// given.
bool
ReadTtl(const std::string& aBody, absl::Duration& aTtl)
{
  if (aBody.empty()) {
    return true;
  }
  boost::system::error_code failure;
  const auto parsed = json::parse(aBody, failure);
  const auto* object = failure ? nullptr : parsed.if_object();
  if (object == nullptr) {
    return false;
  }
  const auto* ttl = object->if_contains("TTL");
  if (ttl == nullptr) {
    return true;
  }
  const auto* text = ttl->if_string();
  return text != nullptr &&
         absl::ParseDuration(absl::string_view(text->data(), text->size()),
                             &aTtl);
}

} // namespace

std::string
KeyOf(const call& aCall)
{
  return std::string(absl::StripPrefix(aCall.path, kKeyPrefix));
}

service::service(catalog_content aContent,
                 std::chrono::milliseconds aListLag,
                 rate_limits aLimits)
  : mCatalog(std::move(aContent), aListLag)
  , mCounter(aLimits)
{
}

answer
service::Handle(const call& aCall, clock::time_point aNow)
{
  if (absl::StartsWith(aCall.path, "/v1/session/")) {
    return HandleSession(aCall, aNow);
  }
  if (absl::StartsWith(aCall.path, kKeyPrefix) && !KeyOf(aCall).empty()) {
    if (aCall.method == "GET") {
      return ReadKey(KeyOf(aCall));
    }
    if (aCall.method == "PUT") {
      return WriteKey(KeyOf(aCall), aCall);
    }
    return ErrorAnswer(kMethodNotAllowed, "method not allowed; use GET or PUT");
  }
  if (aCall.path == "/v1/catalog/service/currantshed") {
    return answer{ 200, mCatalog.VmsJson(aNow), 0 };
  }
  if (aCall.path == "/v1/catalog/service/upstream") {
    return answer{ 200, mCatalog.UpstreamsJson(aNow), 0 };
  }
  return NoSuchPath();
}

answer
service::Control(const call& aCall,
                 std::size_t aWaitingWatches,
                 clock::time_point aNow)
{
  if (aCall.path == "/control/counts") {
    if (aCall.Text("reset") == "true") {
      mCounter.Reset();
    }
    return answer{ 200, mCounter.ToJson(aWaitingWatches, aNow), 0 };
  }
  if (aCall.path == "/control/fault") {
    return SetFaults(aCall);
  }
  if (aCall.path == "/control/shape") {
    return ReplaceShape(aCall, aNow);
  }
  const bool isVm = aCall.path == "/control/vm";
  if (!isVm && aCall.path != "/control/upstream") {
    return NoSuchPath();
  }
  const auto id = aCall.Text("id");
  const auto state = aCall.Text("state");
  const bool set = isVm ? mCatalog.SetVm(id, state, aNow)
                        : mCatalog.SetUpstream(id, state, aNow);
  return set ? BooleanAnswer(true)
             : ErrorAnswer(kBadRequest, "unknown id or state");
}

bool
service::IsWatchReady(const call& aCall) const
{
  const auto* present = mStore.Find(KeyOf(aCall));
  return present != nullptr &&
         present->modifyIndex > aCall.Number("index").value_or(0);
}

void
service::Expire(clock::time_point aNow)
{
  AddChangedKeys(mStore.ExpireSessions(aNow));
}

std::vector<std::string>
service::TakeChangedKeys()
{
  return std::exchange(mChangedKeys, {});
}

answer
service::ReadKey(const std::string& aKey) const
{
  const auto* present = mStore.Find(aKey);
  if (present == nullptr) {
    return answer{ kNotFound, "", mStore.Index() };
  }
  json::object item;
  item["Key"] = aKey;
  item["CreateIndex"] = present->createIndex;
  item["ModifyIndex"] = present->modifyIndex;
  item["LockIndex"] = present->lockIndex;
  item["Flags"] = 0;
  if (present->value.empty()) {
    item["Value"] = nullptr;
  } else {
    item["Value"] = absl::Base64Escape(present->value);
  }
  if (!present->session.empty()) {
    item["Session"] = present->session;
  }
  return answer{ 200,
                 json::serialize(json::array{ std::move(item) }),
                 present->modifyIndex };
}

answer
service::WriteKey(const std::string& aKey, const call& aCall)
{
  const auto acquire = aCall.Text("acquire");
  const auto release = aCall.Text("release");
  const auto expected = aCall.Number("cas");
  const bool hasCas = aCall.query.contains("cas");
  if (hasCas && !expected) {
    return ErrorAnswer(kBadRequest, "cas is not a number");
  }
  if ((hasCas ? 1 : 0) + (acquire.empty() ? 0 : 1) + (release.empty() ? 0 : 1) >
      1) {
    return ErrorAnswer(kBadRequest,
                       "at most one of cas, acquire and release is allowed");
  }
  bool written = false;
  if (!acquire.empty()) {
    written = mStore.Acquire(aKey, aCall.body, acquire);
  } else if (!release.empty()) {
    written = mStore.Release(aKey, aCall.body, release);
  } else {
    written = mStore.Put(aKey, aCall.body, expected);
  }
  if (written) {
    AddChangedKeys({ aKey });
  }
  return BooleanAnswer(written);
}

answer
service::HandleSession(const call& aCall, clock::time_point aNow)
{
  if (aCall.method != "PUT") {
    return ErrorAnswer(kMethodNotAllowed, "PUT");
  }
  if (aCall.path == kCreatePath) {
    return CreateSession(aCall, aNow);
  }
  if (absl::StartsWith(aCall.path, kRenewPrefix)) {
    const std::string id(absl::StripPrefix(aCall.path, kRenewPrefix));
    if (!mStore.RenewSession(id, aNow)) {
      return ErrorAnswer(kNotFound, "no such session");
    }
    return answer{ 200, json::serialize(json::object{ { "ID", id } }), 0 };
  }
  if (absl::StartsWith(aCall.path, kDestroyPrefix)) {
    const std::string id(absl::StripPrefix(aCall.path, kDestroyPrefix));
    AddChangedKeys(mStore.DestroySession(id));
    return BooleanAnswer(true);
  }
  return NoSuchPath();
}

answer
service::CreateSession(const call& aCall, clock::time_point aNow)
{
  absl::Duration ttl;
  if (!ReadTtl(aCall.body, ttl)) {
    return ErrorAnswer(kBadRequest, "malformed session request body");
  }
  const auto id = mStore.CreateSession(absl::ToChronoMilliseconds(ttl), aNow);
  return answer{ 200, json::serialize(json::object{ { "ID", id } }), 0 };
}

answer
service::SetFaults(const call& aCall)
{
  faults next = mFaults;
  if (!ReadOutage(aCall, next.outageMode)) {
    return ErrorAnswer(kBadRequest,
                       "expected outage=on|off and mode=hang|error");
  }
  for (const auto& [name, text] : aCall.query) {
    std::uint32_t number = 0;
    if (name == "outage" || name == "mode") {
      continue;
    }
    if (!absl::SimpleAtoi(text, &number)) {
      return ErrorAnswer(kBadRequest, absl::StrCat(name, " is not a number"));
    }
    if (name == "slow_ms") {
      next.addedLatency = std::chrono::milliseconds(number);
    } else if (name == "lose_answers") {
      next.loseAnswers = number;
    } else if (name == "lose_requests") {
      next.loseRequests = number;
    } else if (name == "list_lag_ms") {
      mCatalog.SetLag(std::chrono::milliseconds(number));
    } else {
      return ErrorAnswer(kBadRequest, absl::StrCat("unknown fault ", name));
    }
  }
  mFaults = next;
  return BooleanAnswer(true);
}

answer
service::ReplaceShape(const call& aCall, clock::time_point aNow)
{
  catalog_content content;
  std::string fault;
  if (aCall.method != "PUT") {
    return ErrorAnswer(kMethodNotAllowed, "PUT");
  }
  if (!ParseShape(aCall.body, content, fault)) {
    return ErrorAnswer(kBadRequest, std::move(fault));
  }
  mCatalog.Replace(std::move(content), aNow);
  return BooleanAnswer(true);
}

void
service::AddChangedKeys(const std::vector<std::string>& aKeys)
{
  mChangedKeys.insert(mChangedKeys.end(), aKeys.begin(), aKeys.end());
}

} // namespace currantshed::standin

#include "currantshed/store/consul_responses.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include <absl/container/btree_map.h>
#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>
#include <boost/json.hpp>

#include "currantshed/store/errors.hpp"

namespace currantshed::store {

namespace {

namespace json = boost::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kServerErrors = 500;
constexpr char kHexDigits[] = "0123456789ABCDEF";

/// Parses a response body as a JSON array.
std::optional<json::array>
ParseList(const std::string& aBody)
{
  boost::system::error_code failure;
  auto parsed = json::parse(aBody, failure);
  if (failure || !parsed.is_array()) {
    return std::nullopt;
  }
  return std::move(parsed.get_array());
}

const json::value*
Find(const json::value& aObject, absl::string_view aName)
{
  const auto* object = aObject.if_object();
  if (object == nullptr) {
    return nullptr;
  }
  return object->if_contains(json::string_view(aName.data(), aName.size()));
}

/// Reads a string that must exist and not be empty.
bool
ReadText(const json::value& aObject, absl::string_view aName, std::string& aTo)
{
  const auto* found = Find(aObject, aName);
  if (found == nullptr || !found->is_string()) {
    return false;
  }
  aTo.assign(found->get_string().data(), found->get_string().size());
  return !aTo.empty();
}

bool
ToPort(std::uint64_t aNumber, std::uint16_t& aTo)
{
  constexpr std::uint64_t kLastPort = 65535;
  if (aNumber == 0 || aNumber > kLastPort) {
    return false;
  }
  aTo = static_cast<std::uint16_t>(aNumber);
  return true;
}

bool
ReadPort(const json::value& aObject,
         absl::string_view aName,
         std::uint16_t& aTo)
{
  const auto* found = Find(aObject, aName);
  if (found == nullptr || !found->is_number()) {
    return false;
  }
  boost::system::error_code failure;
  const auto number = found->to_number<std::uint64_t>(failure);
  return !failure && ToPort(number, aTo);
}

/// Reads a number above zero. All metadata values in the catalog are strings.
bool
ReadMetaNumber(const json::value& aMeta,
               absl::string_view aName,
               std::uint32_t& aTo)
{
  std::string text;
  return ReadText(aMeta, aName, text) && absl::SimpleAtoi(text, &aTo) &&
         aTo > 0;
}

bool
ReadMetaPort(const json::value& aMeta,
             absl::string_view aName,
             std::uint16_t& aTo)
{
  std::uint32_t number = 0;
  return ReadMetaNumber(aMeta, aName, number) && ToPort(number, aTo);
}

bool
ReadLeaving(const json::value& aMeta)
{
  std::string text;
  return ReadText(aMeta, "leaving", text) && text == "true";
}

bool
ReadVm(const json::value& aObject, vm& aVm)
{
  const auto* meta = Find(aObject, "ServiceMeta");
  if (meta == nullptr) {
    return false;
  }
  aVm.leaving = ReadLeaving(*meta);
  return ReadText(aObject, "Node", aVm.id) &&
         ReadText(aObject, "Address", aVm.address) &&
         ReadPort(aObject, "ServicePort", aVm.poolerPort) &&
         ReadText(*meta, "failure_domain", aVm.failureDomain) &&
         ReadMetaPort(*meta, "peer_port", aVm.peerPort) &&
         ReadMetaPort(*meta, "status_port", aVm.statusPort);
}

bool
ReadMember(const json::value& aObject,
           std::string& aGroup,
           group::member& aMember)
{
  const auto* meta = Find(aObject, "ServiceMeta");
  if (meta == nullptr) {
    return false;
  }
  aMember.leaving = ReadLeaving(*meta);
  return ReadText(aObject, "Node", aMember.id) &&
         ReadText(aObject, "Address", aMember.address) &&
         ReadPort(aObject, "ServicePort", aMember.port) &&
         ReadText(*meta, "group", aGroup) &&
         ReadText(*meta, "failure_domain", aMember.failureDomain) &&
         ReadMetaNumber(*meta, "slots", aMember.slots) &&
         ReadMetaNumber(*meta, "connections", aMember.connections);
}

/// Checks the status of a response for which 404 is an error as well.
std::error_code
ListStatusError(const http_response& aResponse)
{
  const auto failure = StatusError(aResponse);
  if (!failure && aResponse.status != kOk) {
    return errc::kRejected;
  }
  return failure;
}

template<typename Item, typename Id>
bool
SortAndCheckUnique(std::vector<Item>& aItems, Id aId)
{
  std::sort(aItems.begin(),
            aItems.end(),
            [&aId](const Item& aLeft, const Item& aRight) {
              return aId(aLeft) < aId(aRight);
            });
  return std::adjacent_find(aItems.begin(),
                            aItems.end(),
                            [&aId](const Item& aLeft, const Item& aRight) {
                              return aId(aLeft) == aId(aRight);
                            }) == aItems.end();
}

bool
IsUnreserved(char aCharacter)
{
  return absl::ascii_isalnum(static_cast<unsigned char>(aCharacter)) ||
         aCharacter == '-' || aCharacter == '.' || aCharacter == '_' ||
         aCharacter == '~' || aCharacter == '/';
}

} // namespace

std::error_code
StatusError(const http_response& aResponse)
{
  if (aResponse.error) {
    return aResponse.error;
  }
  if (aResponse.status == kOk || aResponse.status == kNotFound) {
    return {};
  }
  if (aResponse.status == kTooManyRequests) {
    return errc::kRateLimited;
  }
  return aResponse.status >= kServerErrors ? errc::kUnavailable
                                           : errc::kRejected;
}

std::error_code
ReadEntry(const http_response& aResponse, entry& aEntry)
{
  aEntry = entry{};
  const auto failure = StatusError(aResponse);
  if (failure || aResponse.status == kNotFound) {
    return failure;
  }
  const auto list = ParseList(aResponse.body);
  if (!list || list->size() != 1) {
    return errc::kMalformed;
  }
  const auto* value = Find(list->front(), "Value");
  const auto* version = Find(list->front(), "ModifyIndex");
  if (value == nullptr || version == nullptr || !version->is_number()) {
    return errc::kMalformed;
  }
  boost::system::error_code conversionError;
  const auto number = version->to_number<index>(conversionError);
  if (conversionError || number == 0) {
    return errc::kMalformed;
  }
  std::string decoded;
  if (value->is_string()) {
    const auto& text = value->get_string();
    const absl::string_view encoded(text.data(), text.size());
    if (!absl::Base64Unescape(encoded, &decoded)) {
      return errc::kMalformed;
    }
  } else if (!value->is_null()) {
    return errc::kMalformed;
  }
  aEntry = entry{ std::move(decoded), number };
  return {};
}

swap_outcome
ReadSwap(const http_response& aResponse)
{
  if (aResponse.error || aResponse.status != kOk) {
    return swap_outcome::kUnknown;
  }
  const auto text = absl::StripAsciiWhitespace(aResponse.body);
  if (text == "true") {
    return swap_outcome::kApplied;
  }
  return text == "false" ? swap_outcome::kConflict : swap_outcome::kUnknown;
}

std::error_code
ReadVms(const http_response& aResponse, std::vector<vm>& aVms)
{
  aVms.clear();
  if (const auto failure = ListStatusError(aResponse)) {
    return failure;
  }
  const auto list = ParseList(aResponse.body);
  if (!list) {
    return errc::kMalformed;
  }
  std::vector<vm> vms;
  for (const auto& object : *list) {
    if (!ReadVm(object, vms.emplace_back())) {
      return errc::kMalformed;
    }
  }
  if (!SortAndCheckUnique(vms, [](const vm& aVm) { return aVm.id; })) {
    return errc::kMalformed;
  }
  aVms = std::move(vms);
  return {};
}

std::error_code
ReadGroups(const http_response& aResponse,
           std::vector<group::description>& aGroups)
{
  aGroups.clear();
  if (const auto failure = ListStatusError(aResponse)) {
    return failure;
  }
  const auto list = ParseList(aResponse.body);
  if (!list) {
    return errc::kMalformed;
  }
  absl::btree_map<std::string, std::vector<group::member>> byName;
  for (const auto& object : *list) {
    std::string name;
    group::member member;
    if (!ReadMember(object, name, member)) {
      return errc::kMalformed;
    }
    byName[name].push_back(std::move(member));
  }
  std::vector<group::description> groups;
  for (auto& [name, members] : byName) {
    if (!SortAndCheckUnique(
          members, [](const group::member& aMember) { return aMember.id; })) {
      return errc::kMalformed;
    }
    groups.push_back({ name, std::move(members) });
  }
  aGroups = std::move(groups);
  return {};
}

std::string
KeyTarget(const std::string& aKey)
{
  std::string target = "/v1/kv/";
  for (const char character : aKey) {
    if (IsUnreserved(character)) {
      target.push_back(character);
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    target.push_back('%');
    target.push_back(kHexDigits[byte / 16U]);
    target.push_back(kHexDigits[byte % 16U]);
  }
  return target;
}

} // namespace currantshed::store

#include "currantshed/policy/configuration_record.hpp"

#include <algorithm>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace currantshed::policy {

namespace {

constexpr const char* kVersion = "version";
constexpr const char* kChange = "change";
constexpr const char* kDeclaration = "declaration";
constexpr const char* kAppliedBy = "applied_by";
constexpr const char* kAppliedAt = "applied_at";
constexpr const char* kEarlier = "earlier_changes";

std::optional<std::string>
TextAt(const boost::json::object& aObject, const char* aName)
{
  const auto* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_string()) {
    return std::nullopt;
  }
  return std::string(value->get_string());
}

std::uint64_t
NumberAt(const boost::json::object& aObject, const char* aName)
{
  const auto* value = aObject.if_contains(aName);
  if (value == nullptr) {
    return 0;
  }
  boost::system::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  return error ? 0 : number;
}

/// Reads a list of texts, which may be missing; none when it isn't one.
std::optional<std::vector<std::string>>
TextsAt(const boost::json::object& aObject, const char* aName)
{
  std::vector<std::string> texts;
  const auto* value = aObject.if_contains(aName);
  if (value == nullptr) {
    return texts;
  }
  if (!value->is_array()) {
    return std::nullopt;
  }
  for (const auto& item : value->get_array()) {
    if (!item.is_string()) {
      return std::nullopt;
    }
    texts.emplace_back(item.get_string());
  }
  return texts;
}

} // namespace

std::optional<configuration_record>
ParseConfigurationRecord(std::string_view aJson)
{
  boost::system::error_code error;
  const auto value = boost::json::parse({ aJson.data(), aJson.size() }, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  const auto& object = value.get_object();
  auto change = TextAt(object, kChange);
  auto declaration = TextAt(object, kDeclaration);
  auto earlier = TextsAt(object, kEarlier);
  const auto version = NumberAt(object, kVersion);
  if (!change || !declaration || !earlier || version == 0) {
    return std::nullopt;
  }
  // A record can't name more changes than its version counts.
  if (earlier->size() >= version) {
    return std::nullopt;
  }
  return configuration_record{ version,
                               std::move(*change),
                               std::move(*declaration),
                               TextAt(object, kAppliedBy).value_or(""),
                               TextAt(object, kAppliedAt).value_or(""),
                               std::move(*earlier) };
}

std::string
PrintConfigurationRecord(const configuration_record& aRecord)
{
  boost::json::array earlier;
  for (const auto& change : aRecord.earlierChanges) {
    earlier.emplace_back(change);
  }
  boost::json::object object;
  object[kVersion] = aRecord.version;
  object[kChange] = aRecord.change;
  object[kDeclaration] = aRecord.declaration;
  object[kAppliedBy] = aRecord.appliedBy;
  object[kAppliedAt] = aRecord.appliedAt;
  object[kEarlier] = std::move(earlier);
  return boost::json::serialize(object);
}

configuration_record
NextConfigurationRecord(const configuration_record& aPrevious,
                        std::string aChange,
                        std::string aDeclaration)
{
  configuration_record next;
  next.version = aPrevious.version + 1;
  next.change = std::move(aChange);
  next.declaration = std::move(aDeclaration);
  if (aPrevious.version > 0) {
    next.earlierChanges.push_back(aPrevious.change);
    const auto& earlier = aPrevious.earlierChanges;
    const auto kept = std::min(earlier.size(), kEarlierChanges - 1);
    next.earlierChanges.insert(next.earlierChanges.end(),
                               earlier.begin(),
                               earlier.begin() +
                                 static_cast<std::ptrdiff_t>(kept));
  }
  return next;
}

change_status
FindChange(const configuration_record& aRecord,
           std::string_view aChange,
           std::uint64_t aVersion)
{
  if (aRecord.version < aVersion) {
    return change_status::kNotIncluded;
  }
  const auto behind = aRecord.version - aVersion;
  if (behind > aRecord.earlierChanges.size()) {
    return change_status::kTooOld;
  }
  const auto& found =
    behind == 0 ? aRecord.change : aRecord.earlierChanges[behind - 1];
  return found == aChange ? change_status::kIncluded
                          : change_status::kNotIncluded;
}

} // namespace currantshed::policy

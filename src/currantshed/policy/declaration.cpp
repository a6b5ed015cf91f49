#include "currantshed/policy/declaration.hpp"

#include <algorithm>
#include <array>
#include <optional>

#include <absl/strings/str_cat.h>
#include <yaml-cpp/depthguard.h>

#include "currantshed/policy/yaml_reader.hpp"

namespace currantshed::policy {
namespace {

using internal::fault_list;
using internal::map_entry;
using internal::time_bounds;
using internal::yaml_reader;

constexpr std::size_t kMaxClasses = 200;
constexpr std::size_t kMaxGroups = 1000;
constexpr double kMinObjective = 0.5;
constexpr double kMaxObjective = 0.99999;

constexpr time_bounds kStalenessBounds{ std::chrono::seconds(0),
                                        std::chrono::hours(24) };
constexpr time_bounds kDeadlineBounds{ std::chrono::milliseconds(10),
                                       std::chrono::minutes(5) };
constexpr time_bounds kTransactionBounds{ std::chrono::milliseconds(100),
                                          std::chrono::minutes(10) };

constexpr std::string_view kClasses = "classes";
constexpr std::string_view kGroups = "groups";
constexpr std::string_view kAccess = "access";
constexpr std::string_view kServedIn = "served_in";
constexpr std::string_view kMaxStaleness = "max_staleness";
constexpr std::string_view kMayBeRepeated = "may_be_repeated";
constexpr std::string_view kDeadline = "deadline";
constexpr std::string_view kObjective = "objective";
constexpr std::string_view kTransactionLimit = "transaction_limit";

constexpr std::array kTopKeys{ kClasses, kGroups };
constexpr std::array kClassKeys{ kAccess,        kServedIn, kMaxStaleness,
                                 kMayBeRepeated, kDeadline, kObjective,
                                 kGroups };
constexpr std::array kGroupKeys{ kTransactionLimit };
/// What every class must state; a read must state its staleness as well.
constexpr std::array kRequiredKeys{ kAccess,
                                    kServedIn,
                                    kMayBeRepeated,
                                    kDeadline };

constexpr std::array<std::string_view, 2> kAccessWords{ "read", "write" };
constexpr std::array<std::string_view, 2> kBooleanWords{ "no", "yes" };

const map_entry*
Find(const std::vector<map_entry>& aFields, std::string_view aKey)
{
  for (const auto& field : aFields) {
    if (field.key == aKey) {
      return &field;
    }
  }
  return nullptr;
}

/// Reads one class; its place is that of its name.
class class_reader
{
public:
  class_reader(yaml_reader& aReader, const map_entry& aEntry)
    : mReader(aReader)
    , mEntry(aEntry)
    , mContext(absl::StrCat("class '", aEntry.key, "'"))
    , mFields(
        aReader.Fields(aEntry.value, aEntry.location, mContext, kClassKeys))
  {
  }

  work_class Read()
  {
    work_class result;
    result.name = mEntry.key;
    if (!mEntry.value.IsMap()) {
      return result;
    }
    for (const auto key : kRequiredKeys) {
      Require(key);
    }
    ReadScope(result);
    ReadTargets(result);
    ReadAccess(result);
    return result;
  }

private:
  void Require(std::string_view aKey)
  {
    if (Find(mFields, aKey) == nullptr) {
      mReader.Add(mEntry.location,
                  absl::StrCat(mContext, " lacks ", std::string(aKey)));
    }
  }

  void ReadScope(work_class& aResult)
  {
    if (const auto* const field = Find(mFields, kServedIn)) {
      aResult.servedIn = mReader.Names(*field);
    }
    if (const auto* const field = Find(mFields, kGroups)) {
      aResult.groups = mReader.Names(*field);
    }
  }

  void ReadTargets(work_class& aResult)
  {
    if (const auto* const field = Find(mFields, kMayBeRepeated)) {
      aResult.repeatable =
        mReader.OneOf(*field, kBooleanWords).value_or(0) == 1;
    }
    if (const auto* const field = Find(mFields, kDeadline)) {
      const auto time = mReader.Time(*field, kDeadlineBounds);
      aResult.deadline = time.value_or(aResult.deadline);
    }
    if (const auto* const field = Find(mFields, kObjective)) {
      const auto share =
        mReader.Percentage(*field, kMinObjective, kMaxObjective);
      aResult.objective = share.value_or(aResult.objective);
    }
  }

  /// Access, and the staleness that depends on it.
  void ReadAccess(work_class& aResult)
  {
    const auto* const access = Find(mFields, kAccess);
    const auto* const staleness = Find(mFields, kMaxStaleness);
    if (staleness != nullptr) {
      const auto time = mReader.Time(*staleness, kStalenessBounds);
      aResult.maxStaleness = time.value_or(aResult.maxStaleness);
    }
    if (access == nullptr) {
      return;
    }
    const auto word = mReader.OneOf(*access, kAccessWords);
    if (!word) {
      return;
    }
    aResult.kind = *word == 0 ? access::kRead : access::kWrite;
    if (aResult.kind == access::kWrite && staleness != nullptr) {
      mReader.Add(staleness->location,
                  absl::StrCat(mContext,
                               " writes, so it can't have max_staleness; "
                               "leave it out, or set access: read"));
    }
    if (aResult.kind == access::kRead && staleness == nullptr) {
      mReader.Add(mEntry.location,
                  absl::StrCat(mContext,
                               " reads, so it needs max_staleness; 0s asks "
                               "for fresh data"));
    }
  }

  yaml_reader& mReader;
  const map_entry& mEntry;
  std::string mContext;
  std::vector<map_entry> mFields;
};

std::vector<work_class>
ReadClasses(yaml_reader& aReader, const map_entry& aField)
{
  const auto entries = aReader.Map(aField.value, aField.location, "classes");
  if (aField.value.IsMap() && entries.empty()) {
    aReader.Add(aField.location, "classes must have at least one class");
  }
  if (entries.size() > kMaxClasses) {
    aReader.Add(
      aField.location,
      absl::StrCat("classes may have at most ", kMaxClasses, " classes"));
    return {};
  }
  std::vector<work_class> classes;
  classes.reserve(entries.size());
  for (const auto& entry : entries) {
    if (aReader.Name(entry.key, entry.location, "classes")) {
      classes.push_back(class_reader(aReader, entry).Read());
    }
  }
  std::sort(classes.begin(),
            classes.end(),
            [](const work_class& aLeft, const work_class& aExpected) {
              return aLeft.name < aExpected.name;
            });
  return classes;
}

group_settings
ReadGroup(yaml_reader& aReader, const map_entry& aEntry)
{
  group_settings result;
  result.name = aEntry.key;
  const auto fields = aReader.Fields(aEntry.value,
                                     aEntry.location,
                                     absl::StrCat("group '", aEntry.key, "'"),
                                     kGroupKeys);
  if (const auto* const field = Find(fields, kTransactionLimit)) {
    const auto time = aReader.Time(*field, kTransactionBounds);
    result.transactionLimit = time.value_or(result.transactionLimit);
  }
  return result;
}

std::vector<group_settings>
ReadGroups(yaml_reader& aReader, const map_entry& aField)
{
  const auto entries = aReader.Map(aField.value, aField.location, "groups");
  if (entries.size() > kMaxGroups) {
    aReader.Add(
      aField.location,
      absl::StrCat("groups may have at most ", kMaxGroups, " groups"));
    return {};
  }
  std::vector<group_settings> groups;
  groups.reserve(entries.size());
  for (const auto& entry : entries) {
    if (aReader.Name(entry.key, entry.location, "groups")) {
      groups.push_back(ReadGroup(aReader, entry));
    }
  }
  std::sort(groups.begin(),
            groups.end(),
            [](const group_settings& aLeft, const group_settings& aExpected) {
              return aLeft.name < aExpected.name;
            });
  return groups;
}

declaration
ReadDocument(yaml_reader& aReader, const YAML::Node& aRoot)
{
  declaration result;
  const auto fields =
    aReader.Fields(aRoot, aRoot.Mark(), "the declaration", kTopKeys);
  if (const auto* const field = Find(fields, kClasses)) {
    result.classes = ReadClasses(aReader, *field);
  } else if (aRoot.IsMap()) {
    aReader.Add(aRoot.Mark(), "the declaration lacks classes");
  }
  if (const auto* const field = Find(fields, kGroups)) {
    result.groups = ReadGroups(aReader, *field);
  }
  return result;
}

/// The one document of the text, or a fault and nothing.
std::optional<YAML::Node>
LoadDocument(std::string_view aYaml, fault_list& aFaults)
{
  try {
    const auto documents = YAML::LoadAll(std::string(aYaml));
    if (documents.empty()) {
      aFaults.Add({}, "the declaration is empty; it needs classes");
      return std::nullopt;
    }
    if (documents.size() > 1) {
      aFaults.Add(documents[1].Mark(),
                  "only one document may stand in a declaration");
      return std::nullopt;
    }
    return documents.front();
  } catch (const YAML::DeepRecursion& error) {
    aFaults.Add(error.mark, "not valid YAML: nested too deeply");
    return std::nullopt;
  } catch (const YAML::Exception& error) {
    const auto location = error.mark.is_null() ? YAML::Mark() : error.mark;
    aFaults.Add(location, absl::StrCat("not valid YAML: ", error.msg));
    return std::nullopt;
  }
}

} // namespace

parsed_declaration
ParseDeclaration(std::string_view aYaml)
{
  fault_list faults;
  parsed_declaration result;
  if (aYaml.size() > kMaxDeclarationBytes) {
    faults.Add({},
               absl::StrCat("the declaration has ",
                            aYaml.size(),
                            " bytes; at most ",
                            kMaxDeclarationBytes,
                            " are taken"));
    result.faults = faults.Take();
    return result;
  }
  const auto document = LoadDocument(aYaml, faults);
  if (document) {
    yaml_reader reader(faults);
    result.value = ReadDocument(reader, *document);
  }
  result.faults = faults.Take();
  return result;
}

const work_class*
FindClass(const declaration& aDeclaration, std::string_view aName)
{
  for (const auto& one : aDeclaration.classes) {
    if (one.name == aName) {
      return &one;
    }
  }
  return nullptr;
}

std::chrono::milliseconds
TransactionLimitOf(const declaration& aDeclaration, std::string_view aGroup)
{
  for (const auto& one : aDeclaration.groups) {
    if (one.name == aGroup) {
      return one.transactionLimit;
    }
  }
  return kDefaultTransactionLimit;
}

} // namespace currantshed::policy

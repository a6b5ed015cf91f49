#include "currantshed/ctl/diff.hpp"

#include <algorithm>
#include <map>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <boost/json/object.hpp>

#include "currantshed/settings/duration.hpp"

namespace currantshed::ctl {
namespace {

constexpr double kPercent = 100;

/// The fields of one class or group as text, by name.
using field_texts = std::map<std::string, std::string>;

/// All classes and groups, by subject.
using subjects = std::map<std::string, field_texts>;

std::string
List(const std::vector<std::string>& aNames)
{
  return absl::StrCat("[", absl::StrJoin(aNames, ", "), "]");
}

field_texts
Describe(const policy::work_class& aClass)
{
  const bool reads = aClass.kind == policy::access::kRead;
  field_texts fields{
    { "access", reads ? "read" : "write" },
    { "served_in", List(aClass.servedIn) },
    { "may_be_repeated", aClass.repeatable ? "yes" : "no" },
    { "deadline", settings::FormatDuration(aClass.deadline) },
    { "objective", absl::StrFormat("%.10g%%", aClass.objective * kPercent) },
    { "groups", aClass.groups.empty() ? "(all)" : List(aClass.groups) },
  };
  if (reads) {
    fields["max_staleness"] = settings::FormatDuration(aClass.maxStaleness);
  }
  return fields;
}

subjects
Describe(const policy::declaration& aDeclaration)
{
  subjects all;
  for (const auto& one : aDeclaration.classes) {
    all[absl::StrCat("class ", one.name)] = Describe(one);
  }
  for (const auto& one : aDeclaration.groups) {
    all[absl::StrCat("group ", one.name)] = {
      { "transaction_limit", settings::FormatDuration(one.transactionLimit) }
    };
  }
  return all;
}

std::string
TextOf(const field_texts& aFields, const std::string& aName)
{
  const auto found = aFields.find(aName);
  return found == aFields.end() ? "(none)" : found->second;
}

void
DiffFields(const std::string& aSubject,
           const field_texts& aBefore,
           const field_texts& aAfter,
           std::vector<change>& aChanges)
{
  field_texts names = aBefore;
  names.insert(aAfter.begin(), aAfter.end());
  for (const auto& [name, ignored] : names) {
    const std::string before = TextOf(aBefore, name);
    const std::string after = TextOf(aAfter, name);
    if (before != after) {
      aChanges.push_back(
        { change::kind::kChanged, aSubject, name, before, after });
    }
  }
}

const char*
NameOf(change::kind aKind)
{
  switch (aKind) {
    case change::kind::kAdded:
      return "added";
    case change::kind::kRemoved:
      return "removed";
    case change::kind::kChanged:
      return "changed";
  }
  return "changed";
}

std::string
PrintChange(const change& aChange)
{
  switch (aChange.what) {
    case change::kind::kAdded:
      return absl::StrCat("+ ", aChange.subject, "\n");
    case change::kind::kRemoved:
      return absl::StrCat("- ", aChange.subject, "\n");
    case change::kind::kChanged:
      break;
  }
  return absl::StrCat("~ ",
                      aChange.subject,
                      " ",
                      aChange.field,
                      ": ",
                      aChange.before,
                      " -> ",
                      aChange.after,
                      "\n");
}

} // namespace

std::vector<change>
DiffDeclarations(const policy::declaration& aBefore,
                 const policy::declaration& aAfter)
{
  const subjects before = Describe(aBefore);
  const subjects after = Describe(aAfter);
  std::vector<change> changes;
  for (const auto& [subject, fields] : before) {
    const auto kept = after.find(subject);
    if (kept == after.end()) {
      changes.push_back({ change::kind::kRemoved, subject, "", "", "" });
      continue;
    }
    DiffFields(subject, fields, kept->second, changes);
  }
  for (const auto& [subject, fields] : after) {
    if (before.find(subject) == before.end()) {
      changes.push_back({ change::kind::kAdded, subject, "", "", "" });
    }
  }
  std::stable_sort(changes.begin(),
                   changes.end(),
                   [](const change& aLeft, const change& aRight) {
                     return aLeft.subject < aRight.subject;
                   });
  return changes;
}

std::string
PrintChanges(const std::vector<change>& aChanges)
{
  std::string text;
  for (const auto& one : aChanges) {
    text += PrintChange(one);
  }
  return text;
}

boost::json::array
ChangesToJson(const std::vector<change>& aChanges)
{
  boost::json::array list;
  for (const auto& one : aChanges) {
    boost::json::object item{ { "change", NameOf(one.what) },
                              { "subject", one.subject } };
    if (one.what == change::kind::kChanged) {
      item["field"] = one.field;
      item["before"] = one.before;
      item["after"] = one.after;
    }
    list.push_back(std::move(item));
  }
  return list;
}

} // namespace currantshed::ctl

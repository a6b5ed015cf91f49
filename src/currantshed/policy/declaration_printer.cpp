#include "currantshed/policy/declaration.hpp"

#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include "currantshed/settings/duration.hpp"

namespace currantshed::policy {
namespace {

constexpr double kPercent = 100;

void
PrintClass(const work_class& aClass, std::string& aText)
{
  const bool reads = aClass.kind == access::kRead;
  absl::StrAppendFormat(&aText,
                        "  %s:\n    access: %s\n    served_in: [%s]\n",
                        aClass.name,
                        reads ? "read" : "write",
                        absl::StrJoin(aClass.servedIn, ", "));
  if (reads) {
    absl::StrAppendFormat(&aText,
                          "    max_staleness: %s\n",
                          settings::FormatDuration(aClass.maxStaleness));
  }
  absl::StrAppendFormat(&aText,
                        "    may_be_repeated: %s\n    deadline: %s\n"
                        "    objective: %.10g%%\n",
                        aClass.repeatable ? "yes" : "no",
                        settings::FormatDuration(aClass.deadline),
                        aClass.objective * kPercent);
  if (!aClass.groups.empty()) {
    absl::StrAppendFormat(
      &aText, "    groups: [%s]\n", absl::StrJoin(aClass.groups, ", "));
  }
}

} // namespace

std::string
PrintDeclaration(const declaration& aDeclaration)
{
  std::string text = "classes:\n";
  for (const auto& one : aDeclaration.classes) {
    PrintClass(one, text);
  }
  if (!aDeclaration.groups.empty()) {
    text += "groups:\n";
  }
  for (const auto& one : aDeclaration.groups) {
    absl::StrAppendFormat(&text,
                          "  %s:\n    transaction_limit: %s\n",
                          one.name,
                          settings::FormatDuration(one.transactionLimit));
  }
  return text;
}

} // namespace currantshed::policy

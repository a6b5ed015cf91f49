#include "currantshed/group/refusals.hpp"

#include <algorithm>
#include <array>
#include <string_view>

#include "currantshed/upstream/dialect.hpp"

namespace currantshed::group {

namespace {

constexpr std::string_view kConstraint = "23";
constexpr std::string_view kRolledBack = "40";
constexpr std::string_view kCompletionUnknown = "40003";
// A statement that exceeded the statement timeout would do so again.
constexpr std::string_view kCancelled = "57014";
// Rollback, resources, object state, operator intervention, system errors.
constexpr std::array<std::string_view, 5> kTransientClasses{ kRolledBack,
                                                             "53",
                                                             "55",
                                                             "57",
                                                             "58" };

} // namespace

refusal
Classify(const std::string& aSqlState)
{
  if (aSqlState == upstream::kStaleTermSqlState ||
      aSqlState == upstream::kReadOnlySqlState) {
    return refusal::kNotPrimary;
  }
  const auto isTransient = std::any_of(kTransientClasses.begin(),
                                       kTransientClasses.end(),
                                       [&aSqlState](std::string_view aClass) {
                                         return aSqlState.starts_with(aClass);
                                       });
  return isTransient && aSqlState != kCancelled ? refusal::kTransient
                                                : refusal::kStatement;
}

bool
IsCertainAtCommit(const std::string& aSqlState)
{
  if (aSqlState == kCompletionUnknown) {
    return false;
  }
  return aSqlState.starts_with(kConstraint) ||
         aSqlState.starts_with(kRolledBack) ||
         Classify(aSqlState) == refusal::kNotPrimary;
}

} // namespace currantshed::group

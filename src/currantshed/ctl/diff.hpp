#ifndef CURRANTSHED_CTL_DIFF_HPP
#define CURRANTSHED_CTL_DIFF_HPP

#include <string>
#include <vector>

#include <boost/json/array.hpp>

#include "currantshed/ctl/fwd.hpp"
#include "currantshed/policy/declaration.hpp"

namespace currantshed::ctl {

/// One difference between two declarations.
struct change
{
  enum class kind
  {
    kAdded,
    kRemoved,
    kChanged,
  };

  kind what = kind::kChanged;
  /// What differs, as "class theft-report" or "group claimsbook-1".
  std::string subject;
  /// The field that differs; empty where the subject is added or removed.
  std::string field;
  std::string before;
  std::string after;

  [[nodiscard]] friend bool operator==(const change&, const change&) = default;
};

/// What changes when aAfter takes the place of aBefore, sorted by subject.
[[nodiscard]] std::vector<change>
DiffDeclarations(const policy::declaration& aBefore,
                 const policy::declaration& aAfter);

/// One line for each change.
[[nodiscard]] std::string
PrintChanges(const std::vector<change>& aChanges);

[[nodiscard]] boost::json::array
ChangesToJson(const std::vector<change>& aChanges);

} // namespace currantshed::ctl

#endif

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
  /// The class or group that differs, for example "class theft-report" or
  /// "group claimsbook-1".
  std::string subject;
  /// The field that differs; empty if the subject was added or removed.
  std::string field;
  std::string before;
  std::string after;

  [[nodiscard]] friend bool operator==(const change&, const change&) = default;
};

/// Returns the changes from aBefore to aAfter, sorted by subject.
[[nodiscard]] std::vector<change>
DiffDeclarations(const policy::declaration& aBefore,
                 const policy::declaration& aAfter);

/// Formats one line per change.
[[nodiscard]] std::string
PrintChanges(const std::vector<change>& aChanges);

[[nodiscard]] boost::json::array
ChangesToJson(const std::vector<change>& aChanges);

} // namespace currantshed::ctl

#endif

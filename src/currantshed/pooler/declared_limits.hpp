#ifndef CURRANTSHED_POOLER_DECLARED_LIMITS_HPP
#define CURRANTSHED_POOLER_DECLARED_LIMITS_HPP

#include <string_view>
#include <vector>

#include "currantshed/group/description.hpp"
#include "currantshed/policy/declaration.hpp"
#include "currantshed/pooler/fwd.hpp"

namespace currantshed::pooler {

/// Applies the limits for groups in the operators' declaration to the groups
/// listed by the platform.
class declared_limits
{
public:
  /// Replaces the declaration. Returns false if it is invalid; the previous one
  /// then stays in force, so that a declaration is never applied in part.
  bool Update(std::string_view aYaml);

  /// Returns the groups with their declared limits set.
  [[nodiscard]] std::vector<group::description> Apply(
    std::vector<group::description> aGroups) const;

private:
  policy::declaration mDeclaration;
};

} // namespace currantshed::pooler

#endif

#ifndef CURRANTSHED_POOLER_DECLARED_LIMITS_HPP
#define CURRANTSHED_POOLER_DECLARED_LIMITS_HPP

#include <string_view>
#include <vector>

#include "currantshed/group/description.hpp"
#include "currantshed/policy/declaration.hpp"
#include "currantshed/pooler/fwd.hpp"

namespace currantshed::pooler {

/// What the operators' declaration says of groups, put into the groups that
/// the platform lists.
class declared_limits
{
public:
  /// Takes a declaration over; false when it has faults, and then the former
  /// one stays, so that a pooler never works with half a declaration.
  bool Update(std::string_view aYaml);

  /// The same groups with their declared bounds.
  [[nodiscard]] std::vector<group::description> Apply(
    std::vector<group::description> aGroups) const;

private:
  policy::declaration mDeclaration;
};

} // namespace currantshed::pooler

#endif

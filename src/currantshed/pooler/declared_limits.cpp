#include "currantshed/pooler/declared_limits.hpp"

#include <utility>

namespace currantshed::pooler {

bool
declared_limits::Update(std::string_view aYaml)
{
  auto parsed = policy::ParseDeclaration(aYaml);
  if (!parsed.faults.empty()) {
    return false;
  }
  mDeclaration = std::move(parsed.value);
  return true;
}

std::vector<group::description>
declared_limits::Apply(std::vector<group::description> aGroups) const
{
  for (auto& group : aGroups) {
    group.transactionLimit =
      policy::TransactionLimitOf(mDeclaration, group.name);
  }
  return aGroups;
}

} // namespace currantshed::pooler

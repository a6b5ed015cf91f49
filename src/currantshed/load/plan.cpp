#include "currantshed/load/plan.hpp"

namespace currantshed::load {

std::vector<policy::work_class>
ClassesOf(const plan& aPlan, policy::access aKind)
{
  std::vector<policy::work_class> chosen;
  for (const policy::work_class& work : aPlan.classes) {
    if (work.kind == aKind) {
      chosen.push_back(work);
    }
  }
  return chosen;
}

} // namespace currantshed::load

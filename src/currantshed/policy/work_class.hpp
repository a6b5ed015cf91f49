#ifndef CURRANTSHED_POLICY_WORK_CLASS_HPP
#define CURRANTSHED_POLICY_WORK_CLASS_HPP

#include <chrono>
#include <string>
#include <vector>

#include "currantshed/policy/fwd.hpp"

namespace currantshed::policy {

/// Whether the statements of a class only read or may also change data.
enum class access
{
  kRead,
  kWrite,
};

/// The targets that operators declare for one class of work.
struct work_class
{
  std::string name;
  access kind = access::kRead;
  /// Failure domains whose upstreams may serve the class; a hard limit.
  std::vector<std::string> servedIn;
  /// How old the data of a read may be. Zero asks for a fresh read.
  std::chrono::milliseconds maxStaleness{ 0 };
  /// Whether a request may be sent again when its outcome is in doubt. Where
  /// it may not, the doubt is first resolved (see outcome).
  bool repeatable = false;
  /// Time from the caller's request to its final answer.
  std::chrono::milliseconds deadline{ 2000 };
  /// Share of requests that must meet the deadline, between 0 and 1.
  double objective = 0.999;
  /// Groups that the class may use; empty for all of them.
  std::vector<std::string> groups;

  [[nodiscard]] friend bool operator==(const work_class&,
                                       const work_class&) = default;
};

} // namespace currantshed::policy

#endif

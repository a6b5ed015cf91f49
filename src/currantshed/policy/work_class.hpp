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

/// Targets of one class of requests, declared by the operators.
struct work_class
{
  std::string name;
  access kind = access::kRead;
  /// Failure domains whose upstreams may serve the class; a hard constraint.
  std::vector<std::string> servedIn;
  /// Maximum age of the data of a read. Zero requires a fresh read.
  std::chrono::milliseconds maxStaleness{ 0 };
  /// Whether a request may be retried while its outcome is unknown. Otherwise
  /// the outcome is resolved first (see outcome).
  bool repeatable = false;
  /// Time from receiving the request to sending the final response.
  std::chrono::milliseconds deadline{ 2000 };
  /// Fraction of requests that must meet the deadline, between 0 and 1.
  double objective = 0.999;
  /// Groups that the class may use; empty means all groups.
  std::vector<std::string> groups;

  [[nodiscard]] friend bool operator==(const work_class&,
                                       const work_class&) = default;
};

} // namespace currantshed::policy

#endif

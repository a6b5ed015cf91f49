#ifndef CURRANTSHED_STANDIN_UPSTREAM_FAULTS_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_FAULTS_HPP

#include <chrono>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_set.h>

namespace currantshed::standin::postgres {

/// The faults that a server is under at the moment.
struct faults
{
  /// Every connection is dead.
  bool cutAll = false;
  /// Connections between the servers are dead.
  bool cutReplication = false;
  /// Connections from these VMs are dead.
  absl::flat_hash_set<std::string> cutVms;
  /// Time between storing a record and applying it.
  std::chrono::milliseconds lag{ 0 };
  /// Delay of each answer, on top of the link's.
  std::chrono::milliseconds lateAnswer{ 0 };
  /// Time between receiving a record and storing it.
  std::chrono::milliseconds storeDelay{ 0 };

  [[nodiscard]] bool CutsReplication() const noexcept;
  [[nodiscard]] bool CutsVm(const std::string& aVm) const;

  /// Changes one fault by its name and value; false when either is unknown.
  [[nodiscard]] bool Set(std::string_view aName, std::string_view aValue);

private:
  [[nodiscard]] bool SetCut(std::string_view aValue);
};

} // namespace currantshed::standin::postgres

#endif

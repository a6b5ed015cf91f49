#ifndef CURRANTSHED_STANDIN_UPSTREAM_FAULTS_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_FAULTS_HPP

#include <chrono>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_set.h>

namespace currantshed::standin::postgres {

/// The faults currently injected into a server.
struct faults
{
  /// Every connection is cut.
  bool cutAll = false;
  /// Connections between servers are cut.
  bool cutReplication = false;
  /// Connections from these VMs are cut.
  absl::flat_hash_set<std::string> cutVms;
  /// Time between storing a record and applying it.
  std::chrono::milliseconds lag{ 0 };
  /// Delay of each answer, on top of the link's.
  std::chrono::milliseconds lateAnswer{ 0 };
  /// Time between receiving a record and storing it.
  std::chrono::milliseconds storeDelay{ 0 };

  [[nodiscard]] bool CutsReplication() const noexcept;
  [[nodiscard]] bool CutsVm(const std::string& aVm) const;

  /// Sets one fault by its name and value; returns false if either is unknown.
  [[nodiscard]] bool Set(std::string_view aName, std::string_view aValue);

private:
  [[nodiscard]] bool SetCut(std::string_view aValue);
};

} // namespace currantshed::standin::postgres

#endif

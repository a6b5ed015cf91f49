#ifndef CURRANTSHED_GATEWAY_SHARED_STATE_HPP
#define CURRANTSHED_GATEWAY_SHARED_STATE_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantshed/gateway/engine.hpp"
#include "currantshed/gateway/pooler_health.hpp"
#include "currantshed/gateway/retry_budget.hpp"
#include "currantshed/gateway/view.hpp"
#include "currantshed/session/key_ring.hpp"

namespace currantshed::gateway {

/// Whether a class may use a group.
[[nodiscard]] bool
MayUse(const policy::work_class& aClass, const group::group_name& aGroup);

/// State shared by the filters of one engine.
struct shared_state
{
  shared_state(const engine_settings& aSettings, session::key_ring aKeys);

  /// The declaration of a class; null if no such class is declared.
  [[nodiscard]] std::shared_ptr<const policy::work_class> Rule(
    const std::string& aClass) const;

  /// Failure domains in which some class may write to the group, sorted.
  [[nodiscard]] std::vector<std::string> WriteDomains(
    const group::group_name& aGroup) const;

  /// Whether the platform lists the group.
  [[nodiscard]] bool HasGroup(const group::group_name& aGroup) const;

  /// Whether the VM is in the view.
  [[nodiscard]] bool IsLive(const std::string& aVm) const;

  /// VMs that own the group, in rank order.
  [[nodiscard]] const std::vector<std::string>& Owners(
    const group::group_name& aGroup);

  /// Adds a random delay of up to 50 % so that callers don't all retry at once.
  [[nodiscard]] std::chrono::milliseconds AddJitter(
    std::chrono::milliseconds aTime);

  void SetView(fleet_view aView);
  void SetConfiguration(class_rules aConfiguration);

  engine_settings settings;
  session::key_ring keys;
  fleet_view view;
  std::uint64_t configurationVersion = 0;
  absl::flat_hash_map<std::string, std::shared_ptr<const policy::work_class>>
    rules;
  pooler_health health;
  retry_budget retries;
  engine_counters counters;
  bool draining = false;
  std::vector<action> actions;
  group::request_id lastSent = 0;

private:
  absl::flat_hash_map<group::group_name, std::vector<std::string>> mOwners;
  std::uint64_t mRandom;
};

} // namespace currantshed::gateway

#endif

#ifndef CURRANTSHED_MEMBER_PEER_TABLE_HPP
#define CURRANTSHED_MEMBER_PEER_TABLE_HPP

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>

#include "currantshed/member/membership.hpp"

namespace currantshed::member {

/// State of one other VM.
struct peer_record
{
  std::optional<store::vm> listed;
  clock::time_point listedAt;
  std::optional<store::vm> reported;
  clock::time_point lastHeartbeatAt;
  failover::incarnation_id incarnation;
  std::uint64_t sequence = 0;
  /// Earlier incarnations, to reject their delayed heartbeats.
  std::deque<failover::incarnation_id> pastIncarnations;
  /// Since when this VM has monitored it, that is, expected regular heartbeats.
  std::optional<clock::time_point> monitoredSince;
  /// Until when a peer's report of its loss is valid.
  std::optional<clock::time_point> lostUntil;
  /// Set while the VM is known only from a peer's heartbeat.
  std::optional<store::vm> unconfirmed;
  clock::time_point unconfirmedSince;
  /// Found failed by this VM: monitored until a heartbeat arrives or the VM is
  /// no longer listed.
  bool suspected = false;
  bool live = false;
};

/// The other VMs of the fleet and their liveness.
class peer_table
{
public:
  explicit peer_table(const membership_settings& aSettings);

  void Listed(const std::vector<store::vm>& aVms, clock::time_point aNow);

  /// Processes a heartbeat. Returns false if it is older than the latest one.
  bool RecordHeartbeat(const heartbeat& aHeartbeat, clock::time_point aNow);

  /// Whether the last heartbeat of the VM requires UpdateLiveness: VM data
  /// changed, or the VM was not live.
  [[nodiscard]] bool NeedsEvaluation(const std::string& aId) const;

  /// Adds a VM named in a peer's heartbeat. It gets heartbeats, and becomes
  /// live once it answers.
  void AddUnconfirmed(const store::vm& aVm, clock::time_point aNow);

  /// Records a peer's report that a VM is lost. Returns true if the report
  /// should be passed on.
  bool RecordLost(const lost_vm& aReport, clock::time_point aNow);

  /// Sets the VMs to monitor; in a small fleet, all are monitored.
  void SetMonitored(const absl::flat_hash_set<std::string>& aIds,
                    clock::time_point aNow);

  /// Recomputes the liveness of all VMs. Returns true if the set of live VMs or
  /// their data changed.
  bool UpdateLiveness(clock::time_point aNow);

  /// Returns monitored VMs that have failed and were not reported recently, and
  /// marks them as reported.
  [[nodiscard]] std::vector<lost_vm> TakeNewLosses(clock::time_point aNow);

  /// Removes VMs that are neither listed nor within the grace period since
  /// their last heartbeat or since a peer named them.
  void RemoveExpired(clock::time_point aNow);

  /// The next time at which liveness can change without further events.
  [[nodiscard]] clock::time_point NextChange(clock::time_point aNow) const;

  /// Live VMs, and all known VMs, each sorted by id.
  [[nodiscard]] std::vector<store::vm> Live() const;
  [[nodiscard]] std::vector<store::vm> All() const;

  /// A bounded sample of the VMs heard from directly. It rotates with aNumber.
  [[nodiscard]] std::vector<store::vm> SampleRecent(
    std::uint64_t aNumber,
    clock::time_point aNow) const;

  [[nodiscard]] std::optional<store::vm> Find(const std::string& aId) const;

  /// Whether to request a heartbeat from a monitored VM. In a small fleet,
  /// where every VM sends to every other one, only if a heartbeat is overdue.
  [[nodiscard]] bool IsOverdue(const std::string& aId,
                               clock::time_point aNow) const;

private:
  [[nodiscard]] bool FullMesh() const;
  [[nodiscard]] bool WasHeardRecently(const peer_record& aPeer,
                                      clock::time_point aNow) const;
  [[nodiscard]] clock::time_point LiveUntil(const peer_record& aPeer) const;
  [[nodiscard]] bool IsLive(const peer_record& aPeer,
                            clock::time_point aNow) const;

  membership_settings mSettings;
  absl::btree_map<std::string, peer_record> mPeers;
  // Whether VM data changed since the last UpdateLiveness.
  bool mChanged = false;
};

} // namespace currantshed::member

#endif

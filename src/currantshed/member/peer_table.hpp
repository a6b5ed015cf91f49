#ifndef CURRANTSHED_MEMBER_PEER_TABLE_HPP
#define CURRANTSHED_MEMBER_PEER_TABLE_HPP

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>

#include "currantshed/member/roster.hpp"

namespace currantshed::member {

/// State of one other VM.
struct peer_record
{
  std::optional<store::vm> listed;
  clock::time_point listedSince;
  std::optional<store::vm> heard;
  clock::time_point heardAt;
  failover::incarnation_id incarnation;
  std::uint64_t sequence = 0;
  /// Earlier incarnations, to reject their delayed heartbeats.
  std::deque<failover::incarnation_id> past;
  /// Since when this VM has monitored it, that is, expected regular heartbeats.
  std::optional<clock::time_point> watchedSince;
  /// Until when a peer's report of its loss is valid.
  std::optional<clock::time_point> lostUntil;
  /// Set while the VM is known only from a peer's heartbeat.
  std::optional<store::vm> rumoured;
  clock::time_point rumouredAt;
  /// Found failed by this VM: monitored until a heartbeat arrives or the VM is
  /// no longer listed.
  bool accused = false;
  bool live = false;
};

/// The other VMs of the fleet and their liveness.
class peer_table
{
public:
  explicit peer_table(const roster_settings& aSettings);

  void Listed(const std::vector<store::vm>& aVms, clock::time_point aNow);

  /// Processes a heartbeat. Returns false if it is older than the latest one.
  bool Heard(const heartbeat& aBeat, clock::time_point aNow);

  /// Whether the last heartbeat of the VM requires UpdateLiveness: VM data
  /// changed, or the VM was not live.
  [[nodiscard]] bool NeedsJudgement(const std::string& aId) const;

  /// Adds a VM named in a peer's heartbeat. It gets heartbeats, and becomes
  /// live once it answers.
  void NoteRumour(const store::vm& aVm, clock::time_point aNow);

  /// Records a peer's report that a VM is lost. Returns true if the report
  /// should be passed on.
  bool NoteLost(const lost_vm& aWord, clock::time_point aNow);

  /// Sets the VMs to monitor; in a small fleet, all are monitored.
  void Watch(const absl::flat_hash_set<std::string>& aIds,
             clock::time_point aNow);

  /// Recomputes the liveness of all VMs. Returns true if the set of live VMs or
  /// their data changed.
  bool Judge(clock::time_point aNow);

  /// Returns monitored VMs that have failed and were not reported recently, and
  /// marks them as reported.
  [[nodiscard]] std::vector<lost_vm> TakeLosses(clock::time_point aNow);

  /// Removes VMs that are neither listed nor within the grace period since
  /// their last heartbeat or since a peer named them.
  void Forget(clock::time_point aNow);

  /// The next time at which liveness can change without further events.
  [[nodiscard]] clock::time_point NextChange(clock::time_point aNow) const;

  /// Live VMs, and all known VMs, each sorted by id.
  [[nodiscard]] std::vector<store::vm> Live() const;
  [[nodiscard]] std::vector<store::vm> All() const;

  /// A bounded sample of the VMs heard from directly. It rotates with aNumber.
  [[nodiscard]] std::vector<store::vm> HeardOf(std::uint64_t aNumber,
                                               clock::time_point aNow) const;

  [[nodiscard]] std::optional<store::vm> Find(const std::string& aId) const;

  /// Whether to request a heartbeat from a monitored VM. In a small fleet,
  /// where every VM sends to every other one, only if a heartbeat is overdue.
  [[nodiscard]] bool IsOverdue(const std::string& aId,
                               clock::time_point aNow) const;

private:
  [[nodiscard]] bool FullMesh() const;
  [[nodiscard]] bool HeardLately(const peer_record& aPeer,
                                 clock::time_point aNow) const;
  [[nodiscard]] clock::time_point LiveUntil(const peer_record& aPeer) const;
  [[nodiscard]] bool IsLive(const peer_record& aPeer,
                            clock::time_point aNow) const;

  roster_settings mSettings;
  absl::btree_map<std::string, peer_record> mPeers;
  // Whether VM data changed since the last UpdateLiveness.
  bool mDirty = false;
};

} // namespace currantshed::member

#endif

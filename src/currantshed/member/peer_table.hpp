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

/// What is known of one other VM.
struct peer_record
{
  std::optional<store::vm> listed;
  clock::time_point listedAt;
  std::optional<store::vm> reported;
  clock::time_point lastHeartbeatAt;
  failover::incarnation_id incarnation;
  std::uint64_t sequence = 0;
  /// Earlier incarnations, whose late heartbeats are told apart.
  std::deque<failover::incarnation_id> pastIncarnations;
  /// Since when it is to be heard here regularly.
  std::optional<clock::time_point> monitoredSince;
  /// Until when a peer's word that it is lost holds.
  std::optional<clock::time_point> lostUntil;
  /// Known by hearsay, until a heartbeat or the list confirms it.
  std::optional<store::vm> unconfirmed;
  clock::time_point unconfirmedSince;
  /// Found silent here: watched until it is heard or off the list.
  bool suspected = false;
  bool live = false;
};

/// The other VMs and which of them count as live.
class peer_table
{
public:
  explicit peer_table(const membership_settings& aSettings);

  void Listed(const std::vector<store::vm>& aVms, clock::time_point aNow);

  /// Takes over a heartbeat; false for one that is older than what has been
  /// heard.
  bool RecordHeartbeat(const heartbeat& aBeat, clock::time_point aNow);

  /// Whether the VM's heartbeat changes the view.
  [[nodiscard]] bool NeedsEvaluation(const std::string& aId) const;

  /// Notes a VM known by hearsay: it gets heartbeats, and is live once it
  /// answers.
  void AddUnconfirmed(const store::vm& aVm, clock::time_point aNow);

  /// Notes a peer's word that a VM is lost; true if it is to be passed on.
  bool RecordLost(const lost_vm& aWord, clock::time_point aNow);

  /// Sets the VMs that are to be heard here regularly; in a small fleet all.
  void Watch(const absl::flat_hash_set<std::string>& aIds,
             clock::time_point aNow);

  /// Judges all VMs anew; true if the live ones or their data have changed.
  bool UpdateLiveness(clock::time_point aNow);

  /// Watched VMs that are not live, and of which no word went out lately.
  [[nodiscard]] std::vector<lost_vm> TakeNewLosses(clock::time_point aNow);

  /// Drops VMs that neither the list nor a heartbeat speaks of any longer.
  void RemoveExpired(clock::time_point aNow);

  /// When time alone changes the view next.
  [[nodiscard]] clock::time_point NextChange(clock::time_point aNow) const;

  /// Live VMs, and all that may be alive, by id.
  [[nodiscard]] std::vector<store::vm> Live() const;
  [[nodiscard]] std::vector<store::vm> All() const;

  /// A few of the VMs heard directly, others for each number.
  [[nodiscard]] std::vector<store::vm> SampleRecent(
    std::uint64_t aNumber,
    clock::time_point aNow) const;

  [[nodiscard]] std::optional<store::vm> Find(const std::string& aId) const;

  /// Whether a watched VM is to be asked for a heartbeat: in a small fleet,
  /// where all send to all, only one that has missed a turn.
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
  // Whether the data of a VM changed since the last judgement.
  bool mChanged = false;
};

} // namespace currantshed::member

#endif

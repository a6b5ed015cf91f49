#ifndef CURRANTSHED_TEST_STORE_ERA_MODEL_HPP
#define CURRANTSHED_TEST_STORE_ERA_MODEL_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "currantshed/store/key_value.hpp"
#include "test/currantshed/proxy/simulated_cluster.hpp"

namespace currantshed::test {

/// A bug seeded into the model, which the test must detect.
enum class seeded_bug
{
  kNone,
  /// All responses report the same era.
  kEraIgnored,
  /// A response reports the era in which it arrives instead of the one in which
  /// the store sent it.
  kEraOfArrival,
  /// The fencing token is the store's revision.
  kEpochFromRevision,
  /// Any read counts as verification, even if the store has lost changes.
  kVerificationCarriedOver,
};

/// Model of several VMs, with the real views, registrations and claims of
/// failover locks, on a store that may lose its last seconds at any moment,
/// also twice in a row. Runs in virtual time. Calls are delayed and may be
/// executed in a later era than they were sent in; responses are delayed or
/// lost; VMs are disconnected and restarted. The operator occasionally writes a
/// newer configuration, and writes again what was lost.
class era_model
{
public:
  era_model(std::uint32_t aSeed, seeded_bug aBug);
  ~era_model();
  era_model(const era_model&) = delete;
  era_model& operator=(const era_model&) = delete;

  void Run(std::chrono::seconds aSpan);

  /// Violations found, one per line.
  std::vector<std::string> violations;
  std::uint64_t steps = 0;
  std::uint64_t restores = 0;
  std::uint64_t commands = 0;

private:
  class store_link;
  struct modelled_vm;

  /// The content of the store.
  struct content
  {
    std::map<std::string, store::item> items;
    std::vector<store::key_change> history;
    std::uint64_t number = 1;
    std::map<std::uint64_t, std::size_t> owners;
    std::map<std::uint64_t, clock::time_point> leases;
    std::uint64_t lastLease = 0;
  };

  struct snapshot
  {
    clock::time_point at;
    content state;
  };

  /// A version of the configuration that the operator wrote.
  struct acknowledged_version
  {
    std::uint64_t version = 0;
    clock::time_point at;
  };

  /// A command sent by the holder of the failover lock, with the time of the
  /// read that permitted it.
  struct command
  {
    std::size_t holder = 0;
    std::uint64_t epoch = 0;
    clock::time_point readAt;
  };

  void Step();
  void InjectFaults();
  void StartOutage();
  void RestoreSnapshot(clock::time_point aTo);
  void WriteConfiguration();
  void Put(const std::string& aKey,
           const std::string& aValue,
           std::uint64_t aLease);
  void Remove(const std::string& aKey);
  void Expire();
  void AnswerWatches();
  void RunVm(std::size_t aVm);
  void TryToClaim(std::size_t aVm);
  void TryToCommand(std::size_t aVm);
  void CheckCommand(const command& aCommand);
  void CheckLeaseOwner(std::size_t aVm,
                       std::uint64_t aLease,
                       store::era_id aKnown);
  void Restart(std::size_t aVm);
  void CheckVersions(std::size_t aVm);
  void CheckVerification(std::size_t aVm);
  [[nodiscard]] std::uint64_t VersionAcknowledgedBy(
    clock::time_point aAt) const;
  [[nodiscard]] bool Chance(unsigned aOfThousand);
  [[nodiscard]] std::chrono::milliseconds Delay();
  void ReportViolation(const std::string& aWhat);

  timeline mTime;
  std::mt19937 mRandom;
  seeded_bug mBug;
  content mStore;
  store::era_id mEra = 0;
  std::deque<snapshot> mSnapshots;
  clock::time_point mDownUntil{};
  std::vector<std::function<void()>> mDelayedCalls;
  std::vector<std::function<bool(bool)>> mPendingWatches;
  std::vector<acknowledged_version> mAcknowledged;
  clock::time_point mNextVersion;
  clock::time_point mStableSince;
  std::vector<command> mCommands;
  std::vector<std::unique_ptr<modelled_vm>> mVms;
};

} // namespace currantshed::test

#endif

#ifndef CURRANTSHED_TEST_CUSTOMER_MODEL_HPP
#define CURRANTSHED_TEST_CUSTOMER_MODEL_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "currantshed/customer/freshness.hpp"
#include "currantshed/customer/token_accrual.hpp"
#include "currantshed/customer/token_buckets.hpp"
#include "currantshed/customer/token_cache.hpp"
#include "currantshed/node/freshness_check_schedule.hpp"
#include "currantshed/node/token_client.hpp"
#include "test/currantshed/proxy/simulated_cluster.hpp"

namespace currantshed::test {

/// A seeded bug that the model must find.
enum class customers_model_bug
{
  kNone,
  /// A verification is dated by its response instead of its request.
  kVerificationDatedByResponse,
  /// A verification passed on by another VM is dated by its arrival.
  kForwardedVerificationNotAged,
  /// Keys are checked when a request is read, but not when it is sent.
  kKeyCheckedOnlyAtRead,
  /// The capacity of the buckets is unlimited.
  kUnboundedBuckets,
  /// A VM starts with full buckets.
  kBucketsStartFull,
  /// A share that arrives twice counts twice.
  kSharesCountTwice,
};

/// VMs with the real decision logic on keys and quotas, one customer, a store
/// and a network in virtual time. Calls and messages are delayed, lost and
/// duplicated; VMs are partitioned, frozen and restarted. Checks after each
/// request that ran that its key was in force recently enough and that its
/// customer kept to its quota.
class customers_model
{
public:
  customers_model(std::uint32_t aSeed, customers_model_bug aBug);
  ~customers_model();
  customers_model(const customers_model&) = delete;
  customers_model& operator=(const customers_model&) = delete;

  void Run(std::chrono::seconds aSpan);

  /// Violations found, one line each.
  std::vector<std::string> violations;
  std::uint64_t steps = 0;
  std::uint64_t ran = 0;
  std::uint64_t refused = 0;

private:
  struct vm;
  struct message;

  void Step();
  void InjectFaults();
  void RunVm(std::size_t aVm);
  void CheckStore(std::size_t aVm);
  void BroadcastVerification(std::size_t aVm);
  void DeliverTokenRequests(std::size_t aVm);
  void SendShare(std::size_t aVm);
  void ReceiveRequest(std::size_t aVm);
  void ApplyOutcomes(std::size_t aVm,
                     const std::vector<node::token_result>& aWhat);
  void SendQueued(std::size_t aVm);
  void RecordRun(clock::time_point aAskedAt);
  void Send(std::size_t aFrom, std::size_t aTo, std::function<void()> aWhat);
  void Restart(std::size_t aVm);
  [[nodiscard]] customer::quota Limit() const;
  [[nodiscard]] bool Chance(unsigned aOfThousand);
  [[nodiscard]] bool Reaches(std::size_t aFrom, std::size_t aTo) const;
  [[nodiscard]] bool IsUp(std::size_t aVm) const;
  [[nodiscard]] std::chrono::milliseconds Delay();
  [[nodiscard]] std::chrono::milliseconds StoreDelay();

  timeline mTime;
  std::mt19937 mRandom;
  customers_model_bug mBug;
  std::vector<vm> mVms;
  /// The key is in force in even versions of the store's configuration.
  std::uint64_t mVersion = 0;
  clock::time_point mRevokedAt{};
  clock::time_point mNextChange;
  /// How often, per thousand steps, a restart loop starts.
  unsigned mRestartLoopRate;
  bool mIsStoreDown = false;
  /// Until when the quota coordinators are restarted in a loop.
  clock::time_point mRestartLoopUntil{};
  clock::time_point mNextLoopRestart{};
  bool mIsStoreSlow = false;
  bool mIsLoadSurge = false;
  /// Clients disconnect before they can be served.
  bool mAreClientsImpatient = false;
  struct run
  {
    clock::time_point askedAt;
    clock::time_point ranAt;
  };
  std::deque<run> mRuns;
};

} // namespace currantshed::test

#endif

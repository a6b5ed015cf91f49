#ifndef CURRANTSHED_TEST_CUSTOMER_MODEL_HPP
#define CURRANTSHED_TEST_CUSTOMER_MODEL_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "currantshed/customer/freshness.hpp"
#include "currantshed/customer/operation_token.hpp"
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
  /// A token taken on arrival permits a send at any later time.
  kTokenCheckedOnArrival,
  /// An operation that may have run is sent again with the token it has used.
  kRunAgainWithUsedToken,
};

/// The faults that the model injects.
enum class customers_model_faults
{
  kAll,
  /// All but partitions, and the key is always in force: most requests run,
  /// and customers ask for more than their quota at times.
  kUnderLoad,
  /// The primary is replaced now and then; VMs, store and links work.
  kPrimaryPauses,
};

/// VMs with the real decision logic on keys and quotas, one customer, a store
/// and a network in virtual time. Calls and messages are delayed, lost and
/// duplicated; VMs are partitioned, frozen and restarted; the primary takes no
/// requests for a while, and answers are lost, so that requests are sent again.
/// Checks after each request that was sent that its key was in force recently
/// enough and that its customer kept to its quota.
class customers_model
{
public:
  customers_model(
    std::uint32_t aSeed,
    customers_model_bug aBug,
    customers_model_faults aFaults = customers_model_faults::kAll);
  ~customers_model();
  customers_model(const customers_model&) = delete;
  customers_model& operator=(const customers_model&) = delete;

  void Run(std::chrono::seconds aSpan);

  /// Violations found, one line each.
  std::vector<std::string> violations;
  std::uint64_t steps = 0;
  std::uint64_t ran = 0;
  std::uint64_t refused = 0;
  /// Requests refused because their tokens were used up or unknown.
  std::uint64_t refusedForTokens = 0;
  /// Longest time in which requests were refused for tokens and none was sent.
  clock::duration longestRefusal{ 0 };
  /// Most operations in a window.
  std::size_t mostInWindow = 0;

private:
  struct vm;
  struct waiting;
  struct message;

  void Step();
  void InjectFaults();
  void InjectFaultsUnderLoad();
  void RunVm(std::size_t aVm);
  void CheckStore(std::size_t aVm);
  void BroadcastVerification(std::size_t aVm);
  void DeliverTokenRequests(std::size_t aVm);
  void SendShare(std::size_t aVm);
  void ReceiveRequest(std::size_t aVm);
  void ApplyOutcomes(std::size_t aVm,
                     const std::vector<node::token_result>& aWhat);
  void SendQueued(std::size_t aVm);
  void Refuse(waiting aWhat);
  [[nodiscard]] bool MaySend(const waiting& aWhat) const;
  void RecordRun();
  void Send(std::size_t aFrom, std::size_t aTo, std::function<void()> aWhat);
  void Restart(std::size_t aVm);
  [[nodiscard]] customer::quota Limit() const;
  [[nodiscard]] std::size_t MaxInWindow() const;
  [[nodiscard]] bool Chance(unsigned aOfThousand);
  [[nodiscard]] bool Reaches(std::size_t aFrom, std::size_t aTo) const;
  [[nodiscard]] bool IsUp(std::size_t aVm) const;
  [[nodiscard]] std::chrono::milliseconds Delay();
  [[nodiscard]] std::chrono::milliseconds StoreDelay();

  timeline mTime;
  std::mt19937 mRandom;
  customers_model_bug mBug;
  customers_model_faults mFaults;
  customer::quota mLimit;
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
  /// Until when the primary takes no requests.
  clock::time_point mPausedUntil{};
  bool mAreAnswersLost = false;
  /// Since when requests are refused for tokens, if they are.
  std::optional<clock::time_point> mRefusedSince;
  /// When requests were sent to a server.
  std::deque<clock::time_point> mRuns;
};

} // namespace currantshed::test

#endif

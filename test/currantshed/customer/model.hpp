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

/// A mistake that the model must find.
enum class customers_model_bug
{
  kNone,
  /// A proof counts from its answer, not from its asking.
  kProofDatedByAnswer,
  /// A proof that another VM passes on counts from its coming.
  kProofNotAged,
  /// Keys are looked at when a request comes, not when it is sent.
  kCheckedAtReading,
  /// A bank keeps all that comes in.
  kBankWithoutBound,
  /// A VM that starts finds its bank full.
  kBankStartsFull,
  /// A share that comes twice counts twice.
  kSharesCountTwice,
};

/// VMs with the real decisions on keys and quotas, one customer, a store and a
/// network in virtual time: calls and messages are late, lost and doubled, VMs
/// are cut off, stand still and start again. Checks after each request that ran
/// that its key was in force lately enough and its customer below its quota.
class customers_model
{
public:
  customers_model(std::uint32_t aSeed, customers_model_bug aMistake);
  ~customers_model();
  customers_model(const customers_model&) = delete;
  customers_model& operator=(const customers_model&) = delete;

  void Run(std::chrono::seconds aSpan);

  /// What is wrong, a line each.
  std::vector<std::string> wrong;
  std::uint64_t steps = 0;
  std::uint64_t ran = 0;
  std::uint64_t refused = 0;

private:
  struct vm;
  struct message;

  void Step();
  void Trouble();
  void Work(std::size_t aVm);
  void Check(std::size_t aVm);
  void Spread(std::size_t aVm);
  void Carry(std::size_t aVm);
  void Share(std::size_t aVm);
  void Arrive(std::size_t aVm);
  void Granted(std::size_t aVm, const std::vector<node::token_result>& aWhat);
  void SendWaiting(std::size_t aVm);
  void Ran(clock::time_point aAskedAt);
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
  customers_model_bug mMistake;
  std::vector<vm> mVms;
  /// The key is in force in even versions of the store's configuration.
  std::uint64_t mVersion = 0;
  clock::time_point mRevokedAt{};
  clock::time_point mNextChange;
  /// How often, of a thousand steps, such a loop begins.
  unsigned mLoops;
  bool mIsStoreAway = false;
  /// Until when those that collect tokens end and start again and again.
  clock::time_point mLoopUntil{};
  clock::time_point mNextLoop{};
  bool mIsStoreSlow = false;
  bool mIsSurge = false;
  /// Callers leave before they can be served.
  bool mAreHasty = false;
  struct run
  {
    clock::time_point askedAt;
    clock::time_point ranAt;
  };
  std::deque<run> mRuns;
};

} // namespace currantshed::test

#endif

#ifndef CURRANTSHED_NODE_TOKEN_CLIENT_HPP
#define CURRANTSHED_NODE_TOKEN_CLIENT_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/customer/partition.hpp"

namespace currantshed::node {

/// Asks a VM that collects tokens for some.
struct token_request
{
  std::string vm;
  std::uint64_t number = 0;
  std::string customer;
  unsigned count = 0;
};

/// What became of operations that wait for tokens.
struct token_result
{
  std::string customer;
  unsigned granted = 0;
  unsigned refused = 0;
  /// For what was refused.
  std::chrono::milliseconds retryAfter{ 0 };
  /// For what was granted.
  clock::time_point askedAt;
};

/// Whom this VM asks for tokens, and for how long: the VM that collects those
/// of its own failure domain first, then those of others, where that one has
/// none or says nothing. Asks for no time and sends nothing itself.
class token_client
{
public:
  /// The VMs that may collect in the own failure domain, and in each other one.
  /// For each part of the customers it is the first by hashing; in the own
  /// domain the next one stands in while that is silent.
  void SetCoordinators(const std::vector<std::string>& aOwn,
                       const std::vector<std::vector<std::string>>& aOthers);

  /// The collector that this VM's share of a part goes to; empty while there is
  /// none.
  [[nodiscard]] std::string CoordinatorOf(std::size_t aPart,
                                          clock::time_point aNow) const;

  void Request(const std::string& aCustomer,
               unsigned aCount,
               clock::time_point aNow);
  void OnResponse(std::uint64_t aNumber,
                  unsigned aCount,
                  std::chrono::milliseconds aRetryAfter,
                  clock::time_point aNow);
  void Tick(clock::time_point aNow);
  [[nodiscard]] clock::time_point NextTick() const;

  [[nodiscard]] std::vector<token_request> TakeRequests();
  [[nodiscard]] std::vector<token_result> TakeResults();

private:
  struct pending
  {
    std::string customer;
    unsigned count = 0;
    std::vector<std::string> asked;
    clock::time_point askedAt;
    /// The soonest that one of those asked has named; zero before.
    std::chrono::milliseconds retryAfter{ 0 };
  };

  struct exhausted
  {
    clock::time_point until;
    clock::time_point retryAt;
  };

  void AskNext(pending aWhat, clock::time_point aNow);
  [[nodiscard]] std::string NextFor(const pending& aWhat,
                                    clock::time_point aNow) const;
  [[nodiscard]] bool IsSilent(const std::string& aVm,
                              clock::time_point aNow) const;
  [[nodiscard]] bool IsAlone() const noexcept
  {
    return mOwn.front().empty() && mOthers.front().empty();
  }

  /// By part, in the order in which they are asked.
  std::array<std::vector<std::string>, customer::kPartitions> mOwn;
  std::array<std::vector<std::string>, customer::kPartitions> mOthers;
  absl::btree_map<std::string, clock::time_point> mSilentUntil;
  absl::btree_map<std::string, exhausted> mExhausted;
  std::map<std::uint64_t, pending> mPending;
  /// Those that were asked elsewhere since: an answer may still come.
  std::map<std::uint64_t, pending> mLate;
  /// Wait for a collector to be known.
  std::vector<pending> mUnasked;
  std::uint64_t mLastNumber = 0;
  std::vector<token_request> mAsks;
  std::vector<token_result> mOutcomes;
};

} // namespace currantshed::node

#endif

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

/// A request for tokens to a quota coordinator.
struct token_request
{
  std::string vm;
  std::uint64_t number = 0;
  std::string customer;
  unsigned count = 0;
};

/// The result for operations that waited for tokens.
struct token_result
{
  std::string customer;
  unsigned granted = 0;
  unsigned refused = 0;
  /// Applies to the refused operations.
  std::chrono::milliseconds retryAfter{ 0 };
  /// When the granted tokens were requested.
  clock::time_point askedAt;
};

/// Selects the quota coordinators that this VM requests tokens from, and
/// applies timeouts: the coordinator of its own failure domain comes first, and
/// those of other failure domains follow if it has no tokens or does not
/// answer. Does not read the clock and does no I/O.
class token_client
{
public:
  /// Sets the coordinators of this VM's failure domain and of each other one.
  /// Each partition of the customers belongs to the first by hashing. Within
  /// this VM's failure domain the next one stands in while that is
  /// unresponsive.
  void SetCoordinators(const std::vector<std::string>& aOwn,
                       const std::vector<std::vector<std::string>>& aOthers);

  /// The coordinator that gets this VM's share of a partition; empty while none
  /// is known.
  [[nodiscard]] std::string CoordinatorOf(std::size_t aPartition,
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
    /// The earliest retry time that a coordinator has named; zero if none has.
    std::chrono::milliseconds retryAfter{ 0 };
  };

  struct exhausted
  {
    clock::time_point until;
    clock::time_point retryAt;
  };

  void RequestNext(pending aRequest, clock::time_point aNow);
  [[nodiscard]] std::string NextCoordinator(const pending& aRequest,
                                            clock::time_point aNow) const;
  [[nodiscard]] bool IsUnresponsive(const std::string& aVm,
                                    clock::time_point aNow) const;
  [[nodiscard]] bool HasNoCoordinators() const noexcept
  {
    return mLocal.front().empty() && mRemote.front().empty();
  }

  /// By partition, in the order of requests.
  std::array<std::vector<std::string>, customer::kPartitions> mLocal;
  std::array<std::vector<std::string>, customer::kPartitions> mRemote;
  absl::btree_map<std::string, clock::time_point> mUnresponsiveUntil;
  absl::btree_map<std::string, exhausted> mExhausted;
  std::map<std::uint64_t, pending> mPending;
  /// Requests that timed out and were repeated elsewhere. An answer may still
  /// arrive.
  std::map<std::uint64_t, pending> mTimedOut;
  /// Requests that wait until a coordinator is known.
  std::vector<pending> mQueued;
  std::uint64_t mLastNumber = 0;
  std::vector<token_request> mRequests;
  std::vector<token_result> mResults;
};

} // namespace currantshed::node

#endif

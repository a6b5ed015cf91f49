#ifndef CURRANTSHED_NODE_TOKEN_DESK_HPP
#define CURRANTSHED_NODE_TOKEN_DESK_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/clock/time.hpp"

namespace currantshed::node {

/// Asks a VM that collects tokens for some.
struct token_ask
{
  std::string vm;
  std::uint64_t number = 0;
  std::string customer;
  unsigned count = 0;
};

/// What became of operations that wait for tokens.
struct token_outcome
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
class token_desk
{
public:
  /// Who collects the tokens of the own failure domain, one after the other
  /// while those before are silent, and who those of other domains.
  void SetCollectors(std::vector<std::string> aOwn,
                     std::vector<std::string> aOthers);

  /// The collector that this VM's share goes to; empty while there is none.
  [[nodiscard]] std::string Current(clock::time_point aNow) const;

  void Want(const std::string& aCustomer,
            unsigned aCount,
            clock::time_point aNow);
  void Answered(std::uint64_t aNumber,
                unsigned aCount,
                std::chrono::milliseconds aRetryAfter,
                clock::time_point aNow);
  void Tick(clock::time_point aNow);
  [[nodiscard]] clock::time_point NextTick() const;

  [[nodiscard]] std::vector<token_ask> TakeAsks();
  [[nodiscard]] std::vector<token_outcome> TakeOutcomes();

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
    return mOwn.empty() && mOthers.empty();
  }

  std::vector<std::string> mOwn;
  std::vector<std::string> mOthers;
  absl::btree_map<std::string, clock::time_point> mSilentUntil;
  absl::btree_map<std::string, exhausted> mExhausted;
  std::map<std::uint64_t, pending> mPending;
  /// Those that were asked elsewhere since: an answer may still come.
  std::map<std::uint64_t, pending> mLate;
  /// Wait for a collector to be known.
  std::vector<pending> mUnasked;
  std::uint64_t mLastNumber = 0;
  std::vector<token_ask> mAsks;
  std::vector<token_outcome> mOutcomes;
};

} // namespace currantshed::node

#endif

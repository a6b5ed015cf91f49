#ifndef CURRANTSHED_TEST_MATRIX_RULES_HPP
#define CURRANTSHED_TEST_MATRIX_RULES_HPP

#include <map>
#include <string>

#include "currantshed/failover/coordinator.hpp"
#include "currantshed/gateway/engine.hpp"
#include "currantshed/group/engine.hpp"
#include "test/matrix/plan.hpp"

namespace currantshed::matrix {

/// Intercepts messages between the engines and the simulated environment, and
/// breaks the one rule that the plan names (seeded bug), to show that the
/// checker detects it. Breaks none by default.
class rules
{
public:
  explicit rules(seeded_bug aBroken)
    : mBroken(aBroken)
  {
  }

  [[nodiscard]] bool Broken(seeded_bug aRule) const noexcept
  {
    return mBroken == aRule;
  }

  void Settle(gateway::engine_settings& aSettings) const;
  void Settle(group::engine_settings& aSettings) const;
  void Settle(failover::coordinator_settings& aSettings) const;

  /// Called for a request sent to a pooler.
  void Sent(gateway::send_to_pooler& aMessage);

  /// Called for an answer sent by a pooler to a gateway.
  void Answered(group::answer& aAnswer);

  /// Called for an answer sent by a gateway to its caller.
  void Given(gateway::caller_answer& aAnswer) const;

  /// Called for a server's status before it reaches the engine that confirms a
  /// primary by it.
  void Heard(upstream::server_status& aStatus,
             const upstream::server_status& aPrimary,
             clock::time_point& aAskedAt,
             clock::time_point aNow) const;

  /// Returns the group description given to an engine.
  [[nodiscard]] group::description Described(group::description aGroup) const;

private:
  seeded_bug mBroken;
  std::map<std::string, group::request> mWrites;
  std::vector<upstream::result_set> mFormer;
  unsigned mKeys = 0;
};

} // namespace currantshed::matrix

#endif

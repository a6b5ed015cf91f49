#ifndef CURRANTSHED_TEST_MATRIX_RULES_HPP
#define CURRANTSHED_TEST_MATRIX_RULES_HPP

#include <map>
#include <string>

#include "currantshed/failover/coordinator.hpp"
#include "currantshed/gateway/engine.hpp"
#include "currantshed/group/engine.hpp"
#include "test/matrix/plan.hpp"

namespace currantshed::matrix {

/// Stands between the engines and the world, and breaks one rule where the
/// plan says so, to prove that the checker sees it. Breaks none by default.
class rules
{
public:
  explicit rules(variant aBroken)
    : mBroken(aBroken)
  {
  }

  [[nodiscard]] bool Broken(variant aRule) const noexcept
  {
    return mBroken == aRule;
  }

  void Settle(gateway::engine_settings& aSettings) const;
  void Settle(group::engine_settings& aSettings) const;
  void Settle(failover::coordinator_settings& aSettings) const;

  /// A request on its way to a pooler.
  void Sent(gateway::send_to_pooler& aMessage);

  /// A pooler's answer on its way to a gateway.
  void Answered(group::answer& aAnswer);

  /// A gateway's answer on its way to its caller.
  void Given(gateway::caller_answer& aAnswer) const;

  /// A server's status on its way to an engine that confirms by it.
  void Heard(upstream::server_status& aStatus,
             const upstream::server_status& aPrimary,
             clock::time_point& aAskedAt,
             clock::time_point aNow) const;

  /// The group as an engine is told of it.
  [[nodiscard]] group::description Described(group::description aGroup) const;

private:
  variant mBroken;
  std::map<std::string, group::request> mWrites;
  std::vector<upstream::result_set> mFormer;
  unsigned mKeys = 0;
};

} // namespace currantshed::matrix

#endif

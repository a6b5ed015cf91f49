#ifndef CURRANTSHED_TEST_MATRIX_WORLD_HPP
#define CURRANTSHED_TEST_MATRIX_WORLD_HPP

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "test/matrix/callers.hpp"
#include "test/matrix/gateway_node.hpp"
#include "test/matrix/operators.hpp"
#include "test/matrix/plan.hpp"
#include "test/matrix/pooler_node.hpp"
#include "test/matrix/surroundings.hpp"

namespace currantshed::matrix {

/// The result of one run.
struct run_result
{
  history seen;
  /// Number of planned faults that were injected.
  unsigned struck = 0;
  /// How often each step was reached while faults may be injected.
  std::vector<unsigned> reached;
};

/// Simulates two gateways, three poolers, one group of three servers, the
/// platform's store, operators and callers in virtual time, and injects the
/// faults of a plan.
class world final : public injector
{
public:
  explicit world(const plan& aPlan);

  /// Runs the simulation to its end and returns its history.
  [[nodiscard]] run_result Run();

  [[nodiscard]] fault_effect Reach(std::size_t aStep, process& aBy) override;

private:
  void Begin();
  void Inject(fault aWhat, process& aBy, fault_effect& aEffect);
  /// Applies a fault that affects the current message alone; returns false for
  /// any other fault.
  [[nodiscard]] bool InjectIntoMessage(fault aWhat, fault_effect& aEffect);
  [[nodiscard]] bool InjectIntoServer(fault aWhat);
  [[nodiscard]] bool InjectIntoStore(fault aWhat);
  void InjectIntoProcess(fault aWhat, process& aBy);
  void Partition(const std::string& aServer, bool aWholly);
  void KillServer(const upstream::server_id& aServer);
  void KillPooler(pooler_node& aPooler);
  void PoolerEnded(pooler_node& aPooler);
  void Leave(const upstream::server_id& aServer, clock::duration aGrace);
  void Replace(process& aProcess);
  void WatchStopping(pooler_node& aPooler);
  void Heal();
  void PublishView();
  void Apply(const std::string& aDeclaration);
  [[nodiscard]] pooler_node& PoolerFor(process& aBy);
  [[nodiscard]] gateway_node& GatewayFor(process& aBy);
  /// The live poolers, in rank order.
  [[nodiscard]] std::vector<pooler_node*> Ranked();

  plan mPlan;
  std::mt19937_64 mChance;
  history mSeen;
  timeline mTime;
  server_group mServers;
  fake_store mStore;
  rules mRules;
  surroundings mAround;
  std::vector<unsigned> mReached;
  unsigned mInjected = 0;
  bool mRunning = false;
  std::uint64_t mViewVersion = 0;
  std::vector<std::unique_ptr<pooler_node>> mPoolers;
  std::vector<std::unique_ptr<gateway_node>> mGateways;
  std::vector<std::unique_ptr<session_caller>> mCallers;
  std::vector<std::unique_ptr<operator_call>> mOperators;
};

} // namespace currantshed::matrix

#endif

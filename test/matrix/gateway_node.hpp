#ifndef CURRANTSHED_TEST_MATRIX_GATEWAY_NODE_HPP
#define CURRANTSHED_TEST_MATRIX_GATEWAY_NODE_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "currantshed/gateway/engine.hpp"
#include "test/matrix/pooler_node.hpp"
#include "test/matrix/process.hpp"
#include "test/matrix/surroundings.hpp"

namespace currantshed::matrix {

/// A simulated gateway: runs the real engine and replaces its I/O adapters by
/// fakes.
class gateway_node final : public process
{
public:
  using answered = std::function<void(const gateway::caller_answer&)>;

  gateway_node(surroundings& aAround, std::string aName);

  /// Sets the pooler on the same VM, and all poolers.
  void SetPoolers(pooler_node* aOwn, std::vector<pooler_node*> aAll);

  /// Sets the poolers considered live.
  void SetView(const gateway::fleet_view& aView);

  /// Submits a caller's request. The callback runs once, or never if the
  /// gateway is killed.
  void Submit(gateway::caller_request aRequest, answered aAnswered);

  /// Reports that a pooler's process ended and its connections were closed.
  void PoolerDied(const std::string& aVm);

  /// Starts a graceful shutdown: refuses new requests and exits once those in
  /// progress have ended.
  void Stop();

protected:
  void CreateEngines() override;
  void Ended() override;
  void Collect() override;
  void Tick() override;
  [[nodiscard]] clock::time_point NextTick() const override;

private:
  struct waiting
  {
    answered done;
    /// Whether the request arrived before the shutdown began.
    bool early = true;
  };

  void Do(const gateway::send_to_pooler& aAction, const fault_effect& aEffect);
  void Do(const gateway::cancel_at_pooler& aAction,
          const fault_effect& aEffect);
  void Do(const gateway::give_answer& aAction, const fault_effect& aEffect);
  void AskForConfiguration();
  void WaitForEnd();
  [[nodiscard]] pooler_node* Find(const std::string& aVm) const;

  surroundings& mAround;
  pooler_node* mOwn = nullptr;
  std::vector<pooler_node*> mPoolers;
  gateway::fleet_view mView;
  std::unique_ptr<gateway::request_engine> mEngine;
  std::map<gateway::request_number, waiting> mWaiting;
  gateway::request_number mLastNumber = 0;
  std::uint64_t mVersion = 0;
  bool mStopping = false;
};

/// The work classes that the callers use.
[[nodiscard]] std::vector<policy::work_class>
Classes();

} // namespace currantshed::matrix

#endif

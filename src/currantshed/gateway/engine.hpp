#ifndef CURRANTSHED_GATEWAY_ENGINE_HPP
#define CURRANTSHED_GATEWAY_ENGINE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/gateway/caller.hpp"
#include "currantshed/gateway/fwd.hpp"
#include "currantshed/gateway/view.hpp"
#include "currantshed/group/request.hpp"
#include "currantshed/session/key_ring.hpp"

namespace currantshed::gateway {

/// Sends a request to a VM's pooler; answered by PoolerAnswered with the
/// request's id.
struct send_to_pooler
{
  std::string vm;
  group::group_name group;
  /// Incarnation of the pooler that opened the transaction, or empty.
  std::string incarnation;
  group::request request;
};

/// Tells a VM's pooler that a request's answer isn't wanted any more.
struct cancel_at_pooler
{
  std::string vm;
  group::request_id request = 0;
};

/// Hands the final answer to a caller, with what the metrics need.
struct give_answer
{
  caller_answer answer;
  std::string workClass;
  std::chrono::microseconds latency{ 0 };
  bool deadlineMet = false;
  /// Whether it is the answer to a read that ran.
  bool read = false;
};

/// What the engine wants done. The adapter does them in order.
using action = std::variant<send_to_pooler, cancel_at_pooler, give_answer>;

/// Bounds and times of one engine.
struct engine_settings
{
  /// How long after it was asked for a confirmation may be acknowledged.
  std::chrono::milliseconds validity{ 200 };
  /// How long a pooler may say nothing before a read, or a change, under way
  /// there counts as lost; more where the deadline leaves more.
  std::chrono::milliseconds minReadReplyTimeout{ 500 };
  std::chrono::milliseconds minChangeReplyTimeout{ 1000 };
  /// How long a lost pooler is passed over.
  std::chrono::milliseconds suspectDuration{ 2000 };
  /// What is kept of the deadline for the answer's way back.
  std::chrono::milliseconds returnMargin{ 5 };
  /// Pause before a question is asked again of owners that all failed.
  std::chrono::milliseconds retryDelay{ 50 };
  /// Deadline of calls that belong to no class.
  std::chrono::milliseconds defaultDeadline{ 2000 };
  /// Requests in flight at one engine.
  std::size_t inFlightLimit = 4096;
  std::size_t statementLimit = 64;
  std::size_t statementBytes = 262144;
  std::size_t parameterLimit = 1024;
  /// Longest answer, counted over its values.
  std::size_t answerBytes = std::size_t{ 8 } * 1024 * 1024;
  /// Retries that each request earns, and the most saved up.
  double retriesPerRequest = 0.1;
  double retryCapacity = 20;
  /// Drives the spread of times to come back.
  std::uint64_t seed = 1;
};

/// What an engine has done so far.
struct engine_counters
{
  std::uint64_t reconfirmations = 0;
  std::uint64_t resolutions = 0;
  std::uint64_t retries = 0;
  std::uint64_t refusals = 0;
  /// Requests whose caller went away before the answer.
  std::uint64_t abandoned = 0;
};

/// All decisions of a gateway about its callers' requests, as a pipe of
/// filters (see filter.hpp). Does no I/O: events and the time go in, actions
/// come out. Not safe for use by several threads.
class request_engine
{
public:
  virtual ~request_engine() = default;

  /// Accepts a request; its one answer comes as an action, at once or later.
  virtual void Submit(caller_request aRequest, clock::time_point aNow) = 0;

  /// The caller has gone: no answer is given.
  virtual void Cancel(request_number aRequest, clock::time_point aNow) = 0;

  /// A pooler's answer, with its incarnation.
  virtual void PoolerAnswered(group::answer aAnswer,
                              std::string aIncarnation,
                              clock::time_point aNow) = 0;

  /// A request that was to be sent could not be, so that it surely did not
  /// reach the pooler.
  virtual void NotSent(group::request_id aRequest, clock::time_point aNow) = 0;

  /// A VM's pooler can't be reached any more.
  virtual void PoolerLost(const std::string& aVm, clock::time_point aNow) = 0;

  /// Takes over a new view; poolers that it lacks are lost.
  virtual void ViewChanged(fleet_view aView, clock::time_point aNow) = 0;

  /// Takes over a configuration; false, and nothing changes, when its version
  /// is below the one in force.
  virtual bool Configure(class_rules aConfiguration) = 0;

  /// Takes no new work from now on; what is under way ends as usual.
  virtual void Drain() = 0;

  /// Answers all that is under way now, as at its deadline.
  virtual void ExpireAll(clock::time_point aNow) = 0;

  /// Lets time pass.
  virtual void Tick(clock::time_point aNow) = 0;

  /// When Tick is due at the latest.
  [[nodiscard]] virtual clock::time_point NextTick() const noexcept = 0;

  /// Requests that have not been answered.
  [[nodiscard]] virtual std::size_t Pending() const noexcept = 0;

  [[nodiscard]] virtual const engine_counters& Counters() const noexcept = 0;

  /// Hands over the actions since the last call, oldest first.
  [[nodiscard]] virtual std::vector<action> TakeActions() = 0;
};

/// Makes an engine; the keys seal tokens and transaction ids.
[[nodiscard]] std::unique_ptr<request_engine>
MakeEngine(const engine_settings& aSettings, session::key_ring aKeys);

} // namespace currantshed::gateway

#endif

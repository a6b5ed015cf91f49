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

/// Sends a request to a VM's pooler. The reply arrives through PoolerAnswered
/// with the request's id.
struct send_to_pooler
{
  std::string vm;
  group::group_name group;
  /// Incarnation of the pooler that opened the transaction, or empty.
  std::string incarnation;
  group::request request;
};

/// Cancels a request at a VM's pooler.
struct cancel_at_pooler
{
  std::string vm;
  group::request_id request = 0;
};

/// Delivers the final response to a caller, with the data for the metrics.
struct give_answer
{
  caller_answer answer;
  std::string workClass;
  std::chrono::microseconds latency{ 0 };
  bool deadlineMet = false;
  /// Whether this answers a read that was executed.
  bool read = false;
};

/// An action requested by the engine. The adapter executes actions in order.
using action = std::variant<send_to_pooler, cancel_at_pooler, give_answer>;

/// Limits and timeouts of one engine.
struct engine_settings
{
  /// How long after the request was sent a confirmation may be used to
  /// acknowledge a change.
  std::chrono::milliseconds validity{ 200 };
  /// Minimum time without any reply from a pooler after which a read, or a
  /// change, in flight there counts as lost. A longer deadline extends it.
  std::chrono::milliseconds minReadReplyTimeout{ 500 };
  std::chrono::milliseconds minChangeReplyTimeout{ 1000 };
  /// How long a failed pooler is treated as suspect.
  std::chrono::milliseconds suspectDuration{ 2000 };
  /// Part of the deadline reserved for sending the response.
  std::chrono::milliseconds returnMargin{ 5 };
  /// Delay before another attempt after all owners have failed.
  std::chrono::milliseconds retryDelay{ 50 };
  /// Deadline of calls without a work class.
  std::chrono::milliseconds defaultDeadline{ 2000 };
  /// Maximum number of requests in flight in one engine.
  std::size_t inFlightLimit = 4096;
  std::size_t statementLimit = 64;
  std::size_t statementBytes = 262144;
  std::size_t parameterLimit = 1024;
  /// Maximum size of a result, summed over its values.
  std::size_t answerBytes = std::size_t{ 8 } * 1024 * 1024;
  /// Retry budget: deposit per admitted request, and capacity.
  double retriesPerRequest = 0.1;
  double retryCapacity = 20;
  /// Seed of the jitter in retry delays.
  std::uint64_t seed = 1;
};

/// Event counters of an engine.
struct engine_counters
{
  std::uint64_t reconfirmations = 0;
  std::uint64_t resolutions = 0;
  std::uint64_t retries = 0;
  std::uint64_t refusals = 0;
  /// Requests whose caller disconnected before the response.
  std::uint64_t abandoned = 0;
};

/// Makes all decisions about callers' requests, in a pipeline of filters (see
/// filter.hpp). Performs no I/O: events and the current time go in, actions
/// come out. Not thread-safe.
class request_engine
{
public:
  virtual ~request_engine() = default;

  /// Accepts a request. Its single response is emitted as an action,
  /// immediately or later.
  virtual void Submit(caller_request aRequest, clock::time_point aNow) = 0;

  /// The caller has disconnected; no response is emitted.
  virtual void Cancel(request_number aRequest, clock::time_point aNow) = 0;

  /// Handles a reply from a pooler of the given incarnation.
  virtual void PoolerAnswered(group::answer aAnswer,
                              std::string aIncarnation,
                              clock::time_point aNow) = 0;

  /// A request could not be sent, so that it certainly did not reach the
  /// pooler.
  virtual void NotSent(group::request_id aRequest, clock::time_point aNow) = 0;

  /// The connection to a VM's pooler was lost.
  virtual void PoolerLost(const std::string& aVm, clock::time_point aNow) = 0;

  /// Installs a new view. Poolers missing from it are treated as lost.
  virtual void ViewChanged(fleet_view aView, clock::time_point aNow) = 0;

  /// Installs a configuration. Returns false and changes nothing if its version
  /// is lower than the current one.
  virtual bool Configure(class_rules aConfiguration) = 0;

  /// Rejects new work from now on; requests in flight complete as usual.
  virtual void Drain() = 0;

  /// Answers all pending requests now, as if their deadlines had passed.
  virtual void ExpireAll(clock::time_point aNow) = 0;

  /// Handles everything that is due at the given time.
  virtual void Tick(clock::time_point aNow) = 0;

  /// The latest time at which Tick must be called.
  [[nodiscard]] virtual clock::time_point NextTick() const noexcept = 0;

  /// Number of requests that have not been answered.
  [[nodiscard]] virtual std::size_t Pending() const noexcept = 0;

  [[nodiscard]] virtual const engine_counters& Counters() const noexcept = 0;

  /// Returns the actions since the last call, oldest first.
  [[nodiscard]] virtual std::vector<action> TakeActions() = 0;
};

/// Creates an engine. The keys sign session tokens and transaction ids.
[[nodiscard]] std::unique_ptr<request_engine>
MakeEngine(const engine_settings& aSettings, session::key_ring aKeys);

} // namespace currantshed::gateway

#endif

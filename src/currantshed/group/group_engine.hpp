#ifndef CURRANTSHED_GROUP_GROUP_ENGINE_HPP
#define CURRANTSHED_GROUP_GROUP_ENGINE_HPP

#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include "currantshed/admit/deadline_queue.hpp"
#include "currantshed/group/context.hpp"
#include "currantshed/group/engine.hpp"
#include "currantshed/group/flow.hpp"
#include "currantshed/group/statement_connections.hpp"
#include "currantshed/group/status_poller.hpp"

namespace currantshed::group {

/// Engine of one group. Moves requests from the queues to connections, from
/// replies to their next step, and on status updates and deadlines. The steps
/// of each request are determined by its flow.
class group_engine final : public engine
{
public:
  explicit group_engine(const engine_settings& aSettings);

  void Configure(const description& aGroup, clock::time_point aNow) override;
  void Submit(request aRequest,
              clock::time_point aNow,
              clock::wall_time aWallNow) override;
  void Cancel(request_id aRequest, clock::time_point aNow) override;
  void ConnectionOpened(connection_id aConnection,
                        clock::time_point aNow) override;
  void ConnectionFailed(connection_id aConnection,
                        clock::time_point aNow) override;
  void ConnectionLost(connection_id aConnection,
                      clock::time_point aNow) override;
  void Replied(connection_id aConnection,
               std::uint64_t aBatch,
               upstream::reply aReply,
               clock::time_point aNow) override;
  void StatusArrived(const upstream::server_id& aServer,
                     const upstream::server_status& aStatus,
                     clock::time_point aAskedAt,
                     clock::time_point aNow) override;
  void StatusFailed(const upstream::server_id& aServer,
                    clock::time_point aNow) override;
  void Drain(clock::time_point aNow) override;
  void Tick(clock::time_point aNow) override;
  [[nodiscard]] clock::time_point NextTick() const noexcept override;
  [[nodiscard]] std::size_t Pending() const noexcept override;
  [[nodiscard]] std::vector<action> TakeActions() override;

private:
  /// Dispatch queue of a request. Requests in the same queue wait for the same
  /// servers, so the rate at which it drains predicts their waiting time.
  enum class queue_kind
  {
    kReads,
    kFreshReads,
    kWrites,
    kTransactions,
  };

  /// Request in progress.
  struct entry
  {
    std::unique_ptr<flow> requestFlow;
    stage currentStage = stage::kQueued;
    queue_kind queue = queue_kind::kReads;
    connection_id connection = 0;
    clock::time_point sentAt;
  };

  using timed_request = std::pair<clock::time_point, request_id>;

  /// Returns the answer if the request can be answered without being sent.
  [[nodiscard]] std::optional<answer> Precheck(request& aRequest,
                                               clock::time_point aNow,
                                               clock::wall_time aWallNow);
  [[nodiscard]] std::optional<answer> PrecheckInTransaction(request& aRequest);
  [[nodiscard]] std::unique_ptr<flow> MakeFlow(request aRequest,
                                               clock::time_point aNow);
  [[nodiscard]] static queue_kind QueueKindOf(const request& aRequest);
  [[nodiscard]] static admit::queued_request WaitingOf(const request& aRequest);
  [[nodiscard]] admit::deadline_queue& QueueOf(queue_kind aKind);
  /// Adds a new request to its queue, or refuses it.
  void Enqueue(entry aEntry, clock::time_point aNow);

  /// Sends all waiting requests that can be sent.
  void DispatchAll(clock::time_point aNow);
  void DispatchTransactions(clock::time_point aNow);
  void DispatchQueues(std::size_t aMaxSent, clock::time_point aNow);
  /// Does the same after one slot or connection became free. Requests that
  /// cannot use it could not be sent before either, so they wait for the next
  /// call of DispatchAll.
  void DispatchFreed(clock::time_point aNow);
  /// Tries to send one waiting request; false if it has to keep waiting.
  bool TrySend(request_id aRequest, clock::time_point aNow);
  /// Whether a request that was never sent can no longer end before its
  /// deadline.
  [[nodiscard]] bool IsTooLate(const entry& aEntry, clock::time_point aNow);
  void Send(request_id aRequest,
            connection_id aConnection,
            clock::time_point aNow);

  void Apply(request_id aRequest, step aStep, clock::time_point aNow);
  void ApplyReply(request_id aRequest,
                  reply_outcome aOutcome,
                  clock::time_point aNow);
  void Finish(request_id aRequest, answer aAnswer);
  void AbortBatch(request_id aRequest, clock::time_point aNow);
  /// Removes a request from all queues and sets; true if it was present.
  void Remove(request_id aRequest);

  /// Passes a status update to the requests that wait for one.
  void NotifyWaiters(clock::time_point aNow);
  void Expire(clock::time_point aNow);
  void AbortStaleBatches(clock::time_point aNow);
  void EndTransactions(clock::time_point aNow);
  [[nodiscard]] std::chrono::milliseconds TransactionIdle() const noexcept;
  void PollStatus(clock::time_point aNow);
  [[nodiscard]] poll_demand PollDemand() const;
  /// Ends the processing of an event: dispatches all queues.
  void AfterEvent(clock::time_point aNow);
  /// Ends the processing of an event that freed one slot or connection.
  void AfterFreed(clock::time_point aNow);
  /// Ends the processing of a new request, which cannot make the other ones
  /// sendable.
  void AfterSubmit(request_id aRequest, clock::time_point aNow);
  void FinishEvent(clock::time_point aNow);

  std::vector<action> mActions;
  context mContext;
  statement_connections mConnections;
  status_poller mPoller;
  bool mDraining = false;
  absl::flat_hash_map<request_id, entry> mEntries;
  admit::deadline_queue mReads;
  admit::deadline_queue mFreshReads;
  admit::deadline_queue mWrites;
  admit::deadline_queue mTransactions;
  absl::btree_set<timed_request> mDeadlines;
  absl::btree_set<request_id> mRunning;
  absl::btree_set<request_id> mAwaiting;
  position::term_id mTermSeen = 0;
  // Version of the tracker that waiting requests were last notified of.
  std::uint64_t mVersionSeen = 0;
  // When all queues were last examined.
  clock::time_point mLastFullDispatch{};
};

} // namespace currantshed::group

#endif

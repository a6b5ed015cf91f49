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

/// The engine of one group. It moves requests along: from the queues to
/// connections, from replies to what comes next, from news to those who wait
/// for them, and out at the end of their time. What each request does on its
/// way is for its flow to say.
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
  /// Which queue a request waits in: those in one wait for the same servers,
  /// so that the rate at which it drains tells how long each will wait.
  enum class queue_kind
  {
    kReads,
    kFreshReads,
    kWrites,
    kTransactions,
  };

  /// A request on its way.
  struct entry
  {
    std::unique_ptr<flow> requestFlow;
    stage currentStage = stage::kQueued;
    queue_kind queue = queue_kind::kReads;
    connection_id connection = 0;
    clock::time_point sentAt;
  };

  using timed_request = std::pair<clock::time_point, request_id>;

  /// The answer that can be given before anything is tried.
  [[nodiscard]] std::optional<answer> Precheck(request& aRequest,
                                               clock::time_point aNow,
                                               clock::wall_time aWallNow);
  [[nodiscard]] std::optional<answer> PrecheckInTransaction(request& aRequest);
  [[nodiscard]] std::unique_ptr<flow> MakeFlow(request aRequest,
                                               clock::time_point aNow);
  [[nodiscard]] static queue_kind QueueKindOf(const request& aRequest);
  [[nodiscard]] static admit::waiting WaitingOf(const request& aRequest);
  [[nodiscard]] admit::deadline_queue& QueueOf(queue_kind aKind);
  /// Gives a new request its place, or its refusal.
  void Enqueue(entry aEntry, clock::time_point aNow);

  /// Sends what can be sent.
  void DispatchAll(clock::time_point aNow);
  void DispatchTransactions(clock::time_point aNow);
  void DispatchQueues(std::size_t aMaxSent, clock::time_point aNow);
  /// The same after one place or connection became free: what can't be sent
  /// for it couldn't before either, so the rest waits for the next full look.
  void DispatchFreed(clock::time_point aNow);
  /// Tries to send one waiting request; false when it has to go on waiting.
  bool TrySend(request_id aRequest, clock::time_point aNow);
  /// Whether a request that was never sent would only run in vain.
  [[nodiscard]] bool IsTooLate(const entry& aEntry, clock::time_point aNow);
  void Send(request_id aRequest,
            connection_id aConnection,
            clock::time_point aNow);

  void Apply(request_id aRequest, step aStep, clock::time_point aNow);
  void ApplyReply(request_id aRequest,
                  reply_outcome aTurn,
                  clock::time_point aNow);
  void Finish(request_id aRequest, answer aAnswer);
  void AbortBatch(request_id aRequest, clock::time_point aNow);
  /// Takes a request out of everything; true when there was one.
  void Remove(request_id aRequest);

  /// Tells those who wait for the servers' words that there are news.
  void NotifyWaiters(clock::time_point aNow);
  void Expire(clock::time_point aNow);
  void AbortStaleBatches(clock::time_point aNow);
  void EndTransactions(clock::time_point aNow);
  [[nodiscard]] std::chrono::milliseconds TransactionIdle() const noexcept;
  void PollStatus(clock::time_point aNow);
  [[nodiscard]] poll_demand PollDemand() const;
  /// What follows every event.
  void AfterEvent(clock::time_point aNow);
  /// What follows one place or connection that became free.
  void AfterFreed(clock::time_point aNow);
  /// What follows one request that came: the others can go no sooner for it.
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
  // The version of the board whose news were spread last.
  std::uint64_t mVersionSeen = 0;
  // When the queues were last looked at.
  clock::time_point mLastFullDispatch{};
};

} // namespace currantshed::group

#endif

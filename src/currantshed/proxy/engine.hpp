#ifndef CURRANTSHED_PROXY_ENGINE_HPP
#define CURRANTSHED_PROXY_ENGINE_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include "currantshed/admit/deadline_queue.hpp"
#include "currantshed/admit/retry_budget.hpp"
#include "currantshed/balance/outlier_detector.hpp"
#include "currantshed/balance/server_choice.hpp"
#include "currantshed/clock/time.hpp"
#include "currantshed/confirm/position_samples.hpp"
#include "currantshed/customer/directory.hpp"
#include "currantshed/customer/freshness.hpp"
#include "currantshed/customer/token_cache.hpp"
#include "currantshed/proxy/blocked_queues.hpp"
#include "currantshed/proxy/configuration.hpp"
#include "currantshed/proxy/connection.hpp"
#include "currantshed/proxy/server_state.hpp"
#include "currantshed/proxy/session.hpp"

namespace currantshed::proxy {

/// Confirmation by a majority of a group that a server was its primary in a
/// term. It holds for the validity period, counted from when the query was
/// sent, since a failover waits that long before it promotes another server.
struct confirmation
{
  position::term_id term = 0;
  upstream::server_id primary;
  clock::time_point askedAt;
};

/// Log position of the primary of a term, as of a query.
struct position_sample
{
  position::term_id term = 0;
  position::log_position position;
  clock::time_point askedAt;
};

/// A decision about a request.
struct decision
{
  /// The outcome, as one word for logs and metrics.
  std::string_view outcome;
  std::uint64_t session = 0;
  std::string_view requestId;
  /// The customer; empty when clients need no key.
  std::string_view customer;
  std::string_view service;
  std::string_view server;
  std::string_view reason;
  /// Time since the request arrived.
  clock::duration waited{ 0 };
  unsigned tries = 0;
  /// The class: zero is the highest priority.
  unsigned priority = 0;
  bool needsPrimary = false;
  /// Age of the confirmation that it relies on; negative when there is none.
  clock::duration confirmationAge{ -1 };
  std::optional<position::log_position> floor;
  /// Age of the floor's position.
  clock::duration floorAge{ 0 };
  /// How long the server may have been draining, if it is.
  std::optional<clock::duration> drainingFor;
  /// Whether it is a routine success.
  bool ordinary = false;
  /// Whether it ends the caller's request.
  bool isFinal = false;
};

/// Result of admitting a new session.
enum class session_admission
{
  kGranted,
  kNoDatabase,
  /// No customer has the key.
  kUnknownKey,
  /// No known customer has the key, but a newer configuration may.
  kKeyNotYetKnown,
  /// The known keys are stale: this one may have been revoked.
  kKeysStale,
};

/// Receives the requests and events of the engine.
class engine_host
{
public:
  virtual ~engine_host() = default;

  /// Requests wait for a confirmation of the group's primary.
  virtual void NeedsConfirmation(const std::string& aService) = 0;

  /// A server rejected a write because it is not the primary.
  virtual void LeadershipDenied(const std::string& aService,
                                position::term_id aTerm) = 0;

  /// More operations of the customer wait for tokens.
  virtual void NeedsTokens(const std::string& aCustomer, unsigned aCount) = 0;

  virtual void Decided(const decision& aDecision) = 0;

  /// A server became reachable or unreachable.
  virtual void ReachabilityChanged(const server& aServer,
                                   bool aIsReachable,
                                   std::string_view aReason) = 0;

  /// A direct connection of a customer is opened or closed.
  virtual void ConnectionChanged(std::string_view /*aEvent*/,
                                 std::string_view /*aReason*/)
  {
  }
  /// Reads begin to avoid a server, for the reason given.
  virtual void ServerEjected(const server& /*aServer*/,
                             const balance::ejection& /*aWhy*/)
  {
  }

  /// A server that was ejected gets a share of its reads again.
  virtual void ServerReturned(const server& /*aServer*/) {}
};

struct engine_settings
{
  /// Name of this VM.
  std::string vm;
  std::string failureDomain;
  /// How long a confirmation is valid.
  std::chrono::milliseconds validity{ 1000 };
  /// How long a draining server may be used after it announced that it drains.
  std::chrono::milliseconds drainGracePeriod{ 3500 };
};

/// When a server of a service last answered.
struct server_contact
{
  std::string service;
  upstream::server_id server;
  clock::time_point at;
};

/// Result of a control command. The report is empty when the server rejected
/// the command or did not answer.
struct control_result
{
  std::optional<server_report> report;
  /// The server answered, perhaps without a report.
  bool answered = false;
  clock::time_point askedAt;
};

/// The routing engine: sessions, routing, connections to servers, and what may
/// be acknowledged to callers. It performs no I/O and reads no clock itself.
/// Not thread-safe: belongs to one thread.
class engine final : private connection_listener
{
public:
  using session_id = std::uint64_t;
  using control_callback = std::function<void(const control_result&)>;

  engine(const engine_settings& aSettings,
         link_opener& aOpener,
         engine_host& aHost);
  ~engine() override;
  engine(const engine&) = delete;
  engine& operator=(const engine&) = delete;

  void SetConfiguration(std::shared_ptr<const configuration> aConfiguration,
                        clock::time_point aNow);
  void SetServers(const std::vector<server>& aServers, clock::time_point aNow);
  /// Sets the VMs that share the servers' connections, including this one.
  void SetFleet(std::vector<fleet_vm> aFleet, clock::time_point aNow);
  void Confirm(const std::string& aService,
               const confirmation& aConfirmation,
               clock::time_point aNow);
  void AddSample(const std::string& aService, const position_sample& aSample);
  /// Invalidates confirmations of this term and older ones. Zero lifts this for
  /// confirmations newer than those seen so far.
  void Revoke(const std::string& aService, position::term_id aTerm);

  /// Sets the freshness of the customers' keys. Before the first call no bound
  /// is applied, and keys never become stale.
  void SetFreshness(const customer::freshness& aFreshness);

  /// Grants the customer tokens that were requested at that time.
  void GrantTokens(const std::string& aCustomer,
                   unsigned aCount,
                   clock::time_point aAskedAt,
                   clock::time_point aNow);
  /// Refuses this many waiting operations of the customer, which should be
  /// retried after the given time.
  void RefuseTokens(const std::string& aCustomer,
                    unsigned aCount,
                    std::chrono::milliseconds aRetryAfter,
                    clock::time_point aNow);

  /// Closes the idle sessions of customers, so that their clients reconnect to
  /// a VM that can verify their keys.
  void CloseIdleCustomerSessions();

  /// Whether a session that was requested at that time may begin.
  [[nodiscard]] session_admission Admits(const std::string& aDatabase,
                                         const std::string& aKey,
                                         clock::time_point aAskedAt,
                                         clock::time_point aNow) const;

  /// Opens a session; empty when no route has the database.
  [[nodiscard]] std::optional<session_id> Open(std::string aDatabase,
                                               caller& aCaller,
                                               std::string aKey = {});
  /// Opens a session through which another VM reaches a server; empty when
  /// there is no such server.
  [[nodiscard]] std::optional<session_id> OpenRelay(
    const upstream::server_id& aServer,
    caller& aCaller);
  void Submit(session_id aSession,
              session_statement aStatement,
              clock::time_point aNow);
  [[nodiscard]] transaction_state StateOf(session_id aSession) const;
  /// Ends the session: the client has disconnected.
  void Close(session_id aSession, clock::time_point aNow);

  /// Sends a control command to a server, on a direct connection only or on
  /// any.
  void SendControl(const upstream::server_id& aServer,
                   command aCommand,
                   bool aDirect,
                   std::chrono::milliseconds aTimeout,
                   control_callback aDone,
                   clock::time_point aNow);

  /// Starts draining: sessions are closed as soon as they are idle.
  void Drain();
  /// Rolls back idle transactions and closes their sessions.
  void EndIdleTransactions(clock::time_point aNow);
  [[nodiscard]] std::size_t Sessions() const noexcept
  {
    return mSessions.size();
  }
  /// Number of requests in progress.
  [[nodiscard]] std::size_t Requests() const;

  /// Services that callers have used since that time.
  [[nodiscard]] std::vector<std::string> ServicesUsedSince(
    clock::time_point aTime) const;

  /// When a server last answered; empty when it never did.
  [[nodiscard]] std::optional<clock::time_point> LastContactAt(
    const upstream::server_id& aServer) const;

  /// Servers that have answered since that time.
  [[nodiscard]] std::vector<server_contact> ContactsSince(
    clock::time_point aTime) const;

  /// Number of servers examined for requests, and of access plans made, since
  /// the start; both measure work.
  [[nodiscard]] std::uint64_t ServersExamined() const noexcept
  {
    return mServersExamined;
  }
  [[nodiscard]] std::uint64_t PlansMade() const noexcept { return mPlansMade; }

  void Tick(clock::time_point aNow);
  [[nodiscard]] clock::time_point NextTick() const;

private:
  struct leadership_state
  {
    confirmation confirmed;
    position::term_id revoked = 0;
    confirm::position_samples samples;
    clock::time_point requestedAt;
    // When a caller of this VM last used the service.
    clock::time_point lastUsedAt;
  };

  struct control_command
  {
    upstream::server_id server;
    command what;
    bool direct = true;
    clock::time_point deadline;
    control_callback done;
    connection* serverConnection = nullptr;
    clock::time_point askedAt;
  };

  /// Waiting requests of one group, by dispatch queue. A node-based map:
  /// references to a queue stay valid when others are added while it is being
  /// served.
  using dispatch_queues = std::map<std::string, admit::deadline_queue>;

  // A node-based map: references to states stay valid when others are added.
  using servers = std::map<upstream::server_id, server_state>;
  using timer = std::pair<clock::time_point, session_id>;

  // Sessions and requests.
  void Accept(session& aSession,
              session_statement aStatement,
              clock::time_point aNow);
  void FailLostTransaction(session& aSession,
                           const session_statement& aStatement,
                           clock::time_point aNow);
  [[nodiscard]] std::shared_ptr<const route> RouteOf(
    const session& aSession) const;
  void Finish(session& aSession, answer aAnswer, clock::time_point aNow);
  void Fail(session& aSession,
            failure_code aCode,
            std::string aText,
            clock::time_point aNow);
  void EndTransaction(session& aSession, clock::time_point aNow);
  void RemoveIfCallerLeft(session_id aSession);
  void ScheduleTimer(session& aSession, clock::time_point aAt);
  void Expire(session& aSession, clock::time_point aNow);

  // Customers.
  [[nodiscard]] bool RequiresCustomer(const route& aRoute) const;
  [[nodiscard]] std::optional<failure> AuthorizationFailure(
    const session& aSession,
    const route& aRoute,
    clock::time_point aNow) const;
  [[nodiscard]] std::shared_ptr<const customer::customer> CustomerOf(
    const session& aSession,
    const route& aRoute) const;
  void CloseIdleSessions(bool aAll);
  [[nodiscard]] bool TakeToken(session& aSession, clock::time_point aNow);
  [[nodiscard]] bool TakeTokenAgain(session& aSession, clock::time_point aNow);
  [[nodiscard]] bool TakeCachedToken(request& aRequest, clock::time_point aNow);
  void AwaitToken(session& aSession,
                  clock::time_point aUntil,
                  clock::time_point aNow);
  unsigned ServeAwaitingTokens(const std::string& aCustomer,
                               clock::time_point aNow);
  void ReturnToken(session& aSession);
  [[nodiscard]] session* NextAwaitingToken(const std::string& aCustomer);
  void RejectOverQuota(session& aSession,
                       std::chrono::milliseconds aRetryAfter,
                       clock::time_point aNow);
  [[nodiscard]] bool IsOfCustomer(const session& aSession) const;

  // Dispatch.
  void Dispatch(session& aSession, clock::time_point aNow);
  [[nodiscard]] bool TryStart(session& aSession, clock::time_point aNow);
  void Enqueue(session& aSession, clock::time_point aNow);
  [[nodiscard]] admit::admission Admit(session& aSession,
                                       clock::time_point aNow);
  [[nodiscard]] bool IsOutage(const session& aSession, clock::time_point aNow);
  void Reject(session& aSession, std::string_view aWhy, clock::time_point aNow);
  [[nodiscard]] static failure_code RefusalCode(
    const request& aRequest) noexcept;
  [[nodiscard]] std::string_view MissingResource(const session& aSession,
                                                 clock::time_point aNow);
  [[nodiscard]] admit::deadline_queue& QueueOf(const session& aSession);
  [[nodiscard]] std::optional<server_load> LoadFor(const session& aSession,
                                                   clock::time_point aNow);
  [[nodiscard]] admit::retry_budget& RetriesOf(const request& aRequest);
  void ChargeCustomer(session& aSession);
  void Requeue(session& aSession, clock::time_point aNow);
  void Dequeue(session& aSession);
  void Start(session& aSession,
             connection& aServerConnection,
             clock::time_point aNow);
  void Advance(session& aSession, clock::time_point aNow);
  void SendBegin(session& aSession, clock::time_point aNow);
  void SendStatement(session& aSession, clock::time_point aNow);
  [[nodiscard]] pending_command MakePending(purpose aWhy,
                                            const request& aRequest,
                                            clock::time_point aNow);
  void DispatchQueued(const std::string& aService,
                      clock::time_point aNow,
                      bool aIdleFirst = true);
  void DispatchQueues(dispatch_queues& aQueues, clock::time_point aNow);
  bool DispatchEntry(admit::deadline_queue& aQueue,
                     const admit::queued_request& aEntry,
                     blocked_queues& aBlocked,
                     clock::time_point aNow);

  // Choice of a server.
  [[nodiscard]] leadership_state& LeadershipOf(const std::string& aService);
  [[nodiscard]] bool IsConfirmedPrimary(const leadership_state& aLeadership,
                                        const upstream::server_id& aServer,
                                        clock::time_point aNow) const;
  [[nodiscard]] read_floor FloorOf(const session& aSession,
                                   clock::time_point aNow);
  [[nodiscard]] connection* ConnectionForWrite(session& aSession,
                                               clock::time_point aNow);
  [[nodiscard]] connection* ConnectionForRead(session& aSession,
                                              clock::time_point aNow);
  [[nodiscard]] connection* ConnectionForRelay(session& aSession,
                                               clock::time_point aNow);
  /// The server as a candidate for the read.
  [[nodiscard]] balance::candidate CandidateFor(
    server_state& aServer,
    const session& aSession,
    const leadership_state& aLeadership,
    clock::time_point aNow) const;
  [[nodiscard]] bool FailIfUnreachable(session& aSession,
                                       clock::time_point aNow);
  [[nodiscard]] bool CanServe(const server_state& aServer,
                              const request& aRequest,
                              const leadership_state& aLeadership,
                              clock::time_point aNow) const;
  [[nodiscard]] bool AcceptsWork(const upstream::server_id& aServer,
                                 const request& aRequest,
                                 clock::time_point aNow) const;
  [[nodiscard]] std::optional<position::log_position> RequiredPosition(
    const request& aRequest);
  void RequestConfirmation(const std::string& aService, clock::time_point aNow);

  // Connections.
  [[nodiscard]] connection* Acquire(server_state& aServer,
                                    const session& aSession,
                                    clock::time_point aNow);
  void OpenConnection(server_state& aServer,
                      const path& aVia,
                      const std::string& aCustomer,
                      clock::time_point aNow);
  [[nodiscard]] std::size_t MaxConnections(const server_state& aServer) const;
  server_state& WithPlan(server_state& aServer);
  void UpdateLimit(server_state& aServer) const;
  [[nodiscard]] bool HasClasses(const std::string& aService) const;
  [[nodiscard]] bool IsWithinLimit(server_state& aServer,
                                   const session& aSession,
                                   bool aOpens,
                                   clock::time_point aNow);
  [[nodiscard]] bool IsWithinLimitForRead(server_state& aServer,
                                          const session& aSession,
                                          clock::time_point aNow);
  [[nodiscard]] bool IsAtLimit(const session& aSession, clock::time_point aNow);
  static void ObserveWork(server_state& aState,
                          const connection& aConnection,
                          const pending_command& aPending,
                          const answer& aAnswer,
                          clock::time_point aNow);
  [[nodiscard]] bool AffectsPlans(std::size_t aBefore, std::size_t aNow) const;
  void InvalidatePlans(clock::time_point aNow);
  void IndexServers();
  void ListHeldServers();
  void CloseUnneededOf(server_state& aState,
                       std::vector<connection*>& aClosing,
                       clock::time_point aNow);
  [[nodiscard]] const std::vector<server_state*>& ServersOf(
    const std::string& aService) const;
  void AvoidSilentRelays(clock::time_point aNow);
  void AvoidRelay(const std::string& aVm, clock::time_point aNow);
  [[nodiscard]] static bool CanReroute(const session& aSession);
  [[nodiscard]] static bool IsOfCustomer(const connection& aConnection);
  void NoteUse(connection& aConnection, clock::time_point aNow);
  void ReturnConnection(connection& aConnection, clock::time_point aNow);
  void Discard(connection& aConnection);
  void MarkUnresponsive(server_state& aState,
                        const connection& aConnection,
                        clock::time_point aNow,
                        std::string_view aReason);
  [[nodiscard]] static std::chrono::milliseconds MaxIdleTime(
    const server_state& aState,
    const connection& aConnection);
  void CloseUnneededConnections(clock::time_point aNow);
  [[nodiscard]] server_state* Find(const upstream::server_id& aServer);

  // Answers.
  void Opened(connection& aConnection,
              const std::optional<position::log_position>& aAt,
              clock::time_point aNow) override;
  void Answered(connection& aConnection,
                const pending_command& aPending,
                answer aAnswer,
                clock::time_point aNow) override;
  void Ended(connection& aConnection,
             link_close_reason aWhy,
             clock::time_point aNow) override;
  void RecordAnswer(connection& aConnection,
                    const pending_command& aPending,
                    const answer& aAnswer,
                    clock::time_point aNow);
  void SetupAnswered(session& aSession,
                     const answer& aAnswer,
                     clock::time_point aNow);
  void BeginAnswered(session& aSession, answer aAnswer, clock::time_point aNow);
  void StatementAnswered(session& aSession,
                         answer aAnswer,
                         clock::time_point aNow);
  void Succeeded(session& aSession, answer aAnswer, clock::time_point aNow);
  void HandleRejection(session& aSession,
                       answer aAnswer,
                       clock::time_point aNow);
  void ObserveRelayedLag(const request& aRequest,
                         const failure& aWhy,
                         clock::time_point aNow);
  [[nodiscard]] bool RetryElsewhere(session& aSession,
                                    const failure& aWhy,
                                    clock::time_point aNow);
  void ObserveServer(server_state& aState,
                     balance::observation aWhat,
                     clock::time_point aNow);
  void EjectIfBad(server_state& aState, clock::time_point aNow);
  void ObserveFailedAnswer(const connection& aConnection,
                           const answer& aAnswer,
                           clock::time_point aNow);
  void ObserveLoad(server_state& aState,
                   const answer& aAnswer,
                   clock::time_point aNow);
  void RecordReachability(server_state& aState,
                          bool aIsReachable,
                          std::string_view aReason);
  [[nodiscard]] bool IsConfirmed(const request& aRequest);
  void Acknowledge(session& aSession, answer aAnswer, clock::time_point aNow);
  void AcknowledgeHeld(session& aSession, clock::time_point aNow);
  void ReleaseConnection(session& aSession, clock::time_point aNow);
  void ReleaseHeldAnswers(const std::string& aService, clock::time_point aNow);
  void ConnectionLost(session& aSession, clock::time_point aNow);
  void EndRelay(session& aSession);
  void RecordDecision(const session& aSession,
                      std::string_view aOutcome,
                      std::string_view aReason,
                      bool aOrdinary,
                      clock::time_point aNow);

  // Control commands.
  void DispatchControls(const upstream::server_id& aServer,
                        clock::time_point aNow);
  void OpenForControl(server_state& aServer,
                      bool aDirect,
                      clock::time_point aNow);
  void FinishControl(std::uint64_t aNumber, const control_result& aResult);
  void ExpireControls(clock::time_point aNow);
  void FailControlsOn(const connection& aConnection);

  engine_settings mSettings;
  link_opener& mOpener;
  engine_host& mHost;
  // Empty until the first configuration arrives: other VMs may already relay
  // statements through this one.
  std::shared_ptr<const configuration> mConfiguration =
    std::make_shared<const configuration>();
  customer::freshness mFreshness{ std::chrono::milliseconds{ 0 } };
  // When each relay was last heard from.
  absl::btree_map<std::string, clock::time_point> mRelayContacts;
  access_planner mPlanner;
  // Version of the fleet and configuration that plans are made for. Plans are
  // made when a server is used, since most VMs use few of all servers.
  std::uint64_t mPlanEpoch = 1;
  servers mServers;
  // Servers of each service, by id.
  absl::flat_hash_map<std::string, std::vector<server_state*>> mByService;
  // Servers that have or lately had connections, and servers that are no longer
  // listed. Only these need maintenance.
  absl::btree_set<upstream::server_id> mMaintained;
  // Servers for which this VM is a connection holder; empty until computed.
  std::optional<std::vector<server_state*>> mHeldServers;
  // A node-based map: references to its values are kept while others are added.
  std::map<std::string, leadership_state> mLeadership;
  absl::flat_hash_map<session_id, std::unique_ptr<session>> mSessions;
  // Available tokens, and the sessions that wait for some, by customer.
  customer::token_cache mTokens;
  absl::flat_hash_map<std::string, std::deque<session_id>> mTokenQueues;
  // Retry budgets, by service, for requests rejected as busy.
  std::map<std::string, admit::retry_budget> mRetries;
  std::map<std::string, dispatch_queues> mQueues;
  // Shares of customers, by queue and priority.
  std::map<std::pair<const admit::deadline_queue*, unsigned>,
           std::shared_ptr<admit::fair_share>>
    mShares;
  // Sessions whose requests are queued, by request number.
  absl::flat_hash_map<std::uint64_t, session_id> mWaiting;
  absl::btree_set<timer> mTimers;
  absl::btree_map<std::uint64_t, control_command> mControls;
  // Closed connections that may still be on the call stack.
  std::vector<std::unique_ptr<connection>> mDiscarded;
  std::uint64_t mLastNumber = 0;
  std::uint64_t mServersExamined = 0;
  std::uint64_t mPlansMade = 0;
  // Random numbers for the choice of servers, seeded by the VM's name, so that
  // a run can be replayed and VMs don't choose alike.
  std::mt19937_64 mRandom;
  bool mIsDraining = false;
  // Whether only idle connections are assigned, and none is opened.
  bool mOnlyIdle = false;
  clock::time_point mNextMaintenance;
};

} // namespace currantshed::proxy

#endif

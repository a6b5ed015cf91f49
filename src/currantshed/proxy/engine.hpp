#ifndef CURRANTSHED_PROXY_ENGINE_HPP
#define CURRANTSHED_PROXY_ENGINE_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include "currantshed/admit/deadline_queue.hpp"
#include "currantshed/admit/retry_budget.hpp"
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

/// Proof that a server led its group in a term: a majority of the group said
/// so when asked. It holds for the validity, counted from the asking, since
/// whoever promotes another server waits that long.
struct confirmation
{
  position::term_id term = 0;
  upstream::server_id primary;
  clock::time_point askedAt;
};

/// Where the primary of a term stood when asked.
struct position_sample
{
  position::term_id term = 0;
  position::log_position position;
  clock::time_point askedAt;
};

/// A decision about a request.
struct decision
{
  /// What was decided, as one word for logs and counters.
  std::string_view outcome;
  std::uint64_t session = 0;
  std::string_view requestId;
  /// Whose it is; empty where customers are not told apart.
  std::string_view customer;
  std::string_view service;
  std::string_view server;
  std::string_view reason;
  /// Since the request came.
  clock::duration waited{ 0 };
  unsigned tries = 0;
  bool needsPrimary = false;
  /// Age of the confirmation that it rests on; negative when there is none.
  clock::duration confirmationAge{ -1 };
  std::optional<position::log_position> floor;
  /// Age of the floor's position.
  clock::duration floorAge{ 0 };
  /// How long the server may have been leaving, if it does.
  std::optional<clock::duration> drainingFor;
  /// Whether it is one of the ordinary successes.
  bool ordinary = false;
  /// Whether the caller's request ends with it.
  bool isFinal = false;
};

/// Whether a session may begin.
enum class session_admission
{
  kGranted,
  kNoDatabase,
  /// No customer has the key.
  kUnknownKey,
  /// No customer is known to have the key; a newer configuration may say
  /// otherwise.
  kKeyNotYetKnown,
  /// The keys that are known may have been taken away.
  kKeysStale,
};

/// What the engine tells the process around it.
class engine_host
{
public:
  virtual ~engine_host() = default;

  /// Requests wait for proof of who leads the group.
  virtual void NeedsConfirmation(const std::string& aService) = 0;

  /// A server refused a write as one that does not lead.
  virtual void LeadershipDenied(const std::string& aService,
                                position::term_id aTerm) = 0;

  /// So many operations of a customer wait for tokens.
  virtual void NeedsTokens(const std::string& aCustomer, unsigned aCount) = 0;

  virtual void Decided(const decision& aDecision) = 0;

  /// A server became reachable, or stopped being so.
  virtual void ReachabilityChanged(const server& aServer,
                                   bool aIsReachable,
                                   std::string_view aReason) = 0;
};

struct engine_settings
{
  /// Name of this VM.
  std::string vm;
  std::string failureDomain;
  /// How long a confirmation holds.
  std::chrono::milliseconds validity{ 1000 };
  /// How long a server that leaves may be used after it has said so.
  std::chrono::milliseconds drainGracePeriod{ 3500 };
};

/// When a server of a service last answered anything.
struct server_contact
{
  std::string service;
  upstream::server_id server;
  clock::time_point at;
};

/// How an order to a server ended: the server's word, none when it refused
/// or could not be asked.
struct control_result
{
  std::optional<server_report> report;
  /// The server answered, though perhaps without a report.
  bool answered = false;
  clock::time_point askedAt;
};

/// Sessions, routing, connections to servers, and what may be told to callers.
/// Does no I/O of its own and asks for no time. Belongs to one thread.
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
  /// The VMs that share the servers' connections, this one included.
  void SetFleet(std::vector<fleet_vm> aFleet, clock::time_point aNow);
  void Confirm(const std::string& aService,
               const confirmation& aConfirmation,
               clock::time_point aNow);
  void AddSample(const std::string& aService, const position_sample& aSample);
  /// Nothing may rest any longer on proof of this term or an earlier one; zero
  /// lifts that for proofs that are newer than all so far.
  void Revoke(const std::string& aService, position::term_id aTerm);

  /// What the store showed of the keys' age; nothing is checked before.
  void SetFreshness(const customer::freshness& aFreshness);

  /// So many operations of the customer may begin; asked for at that time.
  void GrantTokens(const std::string& aCustomer,
                   unsigned aCount,
                   clock::time_point aAskedAt,
                   clock::time_point aNow);
  /// So many operations of the customer may not begin now, and had better come
  /// back later.
  void RefuseTokens(const std::string& aCustomer,
                    unsigned aCount,
                    std::chrono::milliseconds aRetryAfter,
                    clock::time_point aNow);

  /// Ends the sessions of customers that rest: their callers find a VM that can
  /// tell whether their keys are still in force.
  void CloseIdleCustomerSessions();

  /// Whether a session may begin that was asked for at that time.
  [[nodiscard]] session_admission Admits(const std::string& aDatabase,
                                         const std::string& aKey,
                                         clock::time_point aAskedAt,
                                         clock::time_point aNow) const;

  /// Begins a session; none when no route has that database.
  [[nodiscard]] std::optional<session_id> Open(std::string aDatabase,
                                               caller& aCaller,
                                               std::string aKey = {});
  /// Begins a session by which another VM reaches a server; none when there
  /// is no such server.
  [[nodiscard]] std::optional<session_id> OpenRelay(
    const upstream::server_id& aServer,
    caller& aCaller);
  void Submit(session_id aSession,
              session_statement aAsked,
              clock::time_point aNow);
  [[nodiscard]] transaction_state StateOf(session_id aSession) const;
  /// The caller has gone.
  void Close(session_id aSession, clock::time_point aNow);

  /// Sends a question or order of the system itself to a server, on a direct
  /// connection or on any.
  void SendControl(const upstream::server_id& aServer,
                   command aCommand,
                   bool aDirect,
                   std::chrono::milliseconds aTimeout,
                   control_callback aDone,
                   clock::time_point aNow);

  /// From now on sessions end as soon as they are idle.
  void Drain();
  /// Ends the transactions that are idle.
  void EndIdleTransactions(clock::time_point aNow);
  [[nodiscard]] std::size_t Sessions() const noexcept
  {
    return mSessions.size();
  }
  /// Requests under way.
  [[nodiscard]] std::size_t Requests() const;

  /// The services that callers have used since then.
  [[nodiscard]] std::vector<std::string> ServicesUsedSince(
    clock::time_point aTime) const;

  /// When a server last answered anything; none when it never did.
  [[nodiscard]] std::optional<clock::time_point> LastContactAt(
    const upstream::server_id& aServer) const;

  /// The servers that have answered anything since then.
  [[nodiscard]] std::vector<server_contact> ContactsSince(
    clock::time_point aTime) const;

  /// Servers that were looked at for a request, and plans that were made; they
  /// count work.
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
    // When a caller of this VM last sent a request or began a transaction.
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

  /// The requests of one group that wait, by lane. Lanes stay where they are
  /// while others are added: one may begin while another is being served.
  using dispatch_queues = std::map<std::string, admit::deadline_queue>;

  // States stay where they are while others are added.
  using servers = std::map<upstream::server_id, server_state>;
  using timer = std::pair<clock::time_point, session_id>;

  // Sessions and requests.
  void Accept(session& aSession,
              session_statement aAsked,
              clock::time_point aNow);
  void FailLostTransaction(session& aSession,
                           const session_statement& aAsked,
                           clock::time_point aNow);
  [[nodiscard]] std::shared_ptr<const route> RouteOf(
    const session& aSession) const;
  void Finish(session& aSession, answer aAnswer, clock::time_point aNow);
  void Fail(session& aSession,
            failure_code aCode,
            std::string aText,
            clock::time_point aNow);
  void EndTransaction(session& aSession, clock::time_point aNow);
  void DropIfGone(session_id aSession);
  void Schedule(session& aSession, clock::time_point aAt);
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
  [[nodiscard]] session* NextAwaitingToken(const std::string& aCustomer);
  void RefuseOverQuota(session& aSession,
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
  [[nodiscard]] admit::retry_budget& RetriesOf(const request& aRequest);
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
  void DispatchQueued(const std::string& aService, clock::time_point aNow);
  void DispatchQueues(dispatch_queues& aQueues, clock::time_point aNow);
  void DispatchQueue(admit::deadline_queue& aQueue,
                     bool aInTime,
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
  [[nodiscard]] bool AffectsPlans(std::size_t aBefore, std::size_t aNow) const;
  void InvalidatePlans(clock::time_point aNow);
  void IndexServers();
  void ListHeldServers();
  void TrimServer(server_state& aState,
                  std::vector<connection*>& aEnded,
                  clock::time_point aNow);
  [[nodiscard]] const std::vector<server_state*>& ServersOf(
    const std::string& aService) const;
  void AvoidSilentRelays(clock::time_point aNow);
  void AvoidRelay(const std::string& aVm, clock::time_point aNow);
  [[nodiscard]] static bool CanReroute(const session& aSession);
  void ReturnConnection(connection& aConnection, clock::time_point aNow);
  void Discard(connection& aConnection);
  void MarkUnresponsive(server_state& aState,
                        const connection& aConnection,
                        clock::time_point aNow,
                        std::string_view aReason);
  [[nodiscard]] static std::chrono::milliseconds MaxIdleTime(
    const server_state& aState,
    const connection& aConnection);
  void TrimConnections(clock::time_point aNow);
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
  void Refused(session& aSession, answer aAnswer, clock::time_point aNow);
  [[nodiscard]] bool RetryElsewhere(session& aSession,
                                    const failure& aWhy,
                                    clock::time_point aNow);
  void NoteReachability(server_state& aState,
                        bool aIsReachable,
                        std::string_view aReason);
  [[nodiscard]] bool IsConfirmed(const request& aRequest);
  void Acknowledge(session& aSession, answer aAnswer, clock::time_point aNow);
  void AcknowledgeHeld(session& aSession, clock::time_point aNow);
  void ReleaseConnection(session& aSession, clock::time_point aNow);
  void ReleaseHeldAnswers(const std::string& aService, clock::time_point aNow);
  void ConnectionLost(session& aSession, clock::time_point aNow);
  void EndRelay(session& aSession);
  void NoteDecision(const session& aSession,
                    std::string_view aOutcome,
                    std::string_view aReason,
                    bool aOrdinary,
                    clock::time_point aNow);

  // Orders.
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
  // Empty until the first one is known: other VMs may send their statements
  // through this one before.
  std::shared_ptr<const configuration> mConfiguration =
    std::make_shared<const configuration>();
  customer::freshness mFreshness{ std::chrono::milliseconds{ 0 } };
  // When each VM that work goes through was last heard.
  absl::btree_map<std::string, clock::time_point> mRelayContacts;
  access_planner mPlanner;
  // Which state of fleet and configuration plans are to be made for. They are
  // made when a server is used: most VMs use few of all.
  std::uint64_t mPlanEpoch = 1;
  servers mServers;
  // The servers of each service, by id.
  absl::flat_hash_map<std::string, std::vector<server_state*>> mByService;
  // Servers to which there are connections, or were until lately, and those
  // that are not listed any longer.
  absl::btree_set<upstream::server_id> mMaintained;
  // Servers to which this VM is meant to hold connections, once it is known.
  std::optional<std::vector<server_state*>> mHeldServers;
  // References to its values are kept while others are added.
  std::map<std::string, leadership_state> mLeadership;
  absl::flat_hash_map<session_id, std::unique_ptr<session>> mSessions;
  // Tokens at hand, and the sessions whose requests wait for some, by customer.
  customer::token_cache mTokens;
  absl::flat_hash_map<std::string, std::deque<session_id>> mTokenQueues;
  // What may be sent again after a server or another VM was too busy for it.
  std::map<std::string, admit::retry_budget> mRetries;
  std::map<std::string, dispatch_queues> mQueues;
  // The sessions whose requests wait, by the request's number.
  absl::flat_hash_map<std::uint64_t, session_id> mWaiting;
  absl::btree_set<timer> mTimers;
  absl::btree_map<std::uint64_t, control_command> mControls;
  // Connections taken out of use that may still be on the call stack.
  std::vector<std::unique_ptr<connection>> mDiscarded;
  std::uint64_t mLastNumber = 0;
  std::uint64_t mServersExamined = 0;
  std::uint64_t mPlansMade = 0;
  bool mIsDraining = false;
  // Whether requests are given connections that stand, and none is opened.
  bool mOnlyIdle = false;
  clock::time_point mNextMaintenance;
};

} // namespace currantshed::proxy

#endif

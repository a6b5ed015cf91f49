#include "test/currantshed/proxy/simulated_cluster.hpp"

#include <algorithm>
#include <utility>

#include "test/currantshed/proxy/relay_link.hpp"

namespace currantshed::test {

using namespace std::chrono_literals;
using proxy::command_kind;
using proxy::failure_code;
using proxy::statement_kind;
using proxy::transaction_state;

namespace {

constexpr auto kValidity = 1000ms;
constexpr auto kHop = 1ms;
constexpr auto kConfirmationInterval = 300ms;
constexpr auto kReplicationInterval = 20ms;

std::string
VmName(std::size_t aVm)
{
  return "vm-" + std::to_string(aVm);
}

} // namespace

void
timeline::At(clock::time_point aTime, std::function<void()> aWhat)
{
  mEvents.push({ std::max(aTime, mNow), ++mLast, std::move(aWhat) });
}

void
timeline::RunUntil(clock::time_point aEnd)
{
  while (!mEvents.empty() && mEvents.top().at <= aEnd) {
    auto next = mEvents.top();
    mEvents.pop();
    mNow = next.at;
    next.what();
  }
  mNow = aEnd;
}

/// A connection to a simulated server. Commands run one after the other.
class fake_link final : public proxy::upstream_link
{
public:
  fake_link(simulated_cluster& aCluster,
            std::string aServer,
            proxy::link_listener& aListener)
    : mCluster(aCluster)
    , mServer(std::move(aServer))
    , mListener(&aListener)
  {
    mCluster.Time().After(kHop, Guarded([this] { Opened(); }));
  }
  fake_link(const fake_link&) = delete;
  fake_link& operator=(const fake_link&) = delete;
  ~fake_link() override
  {
    *mAlive = false;
    if (auto* server = mCluster.Find(mServer)) {
      server->links.erase(this);
    }
  }

  void Send(const std::vector<proxy::command>& aCommands) override
  {
    for (const auto& one : aCommands) {
      mCluster.Time().After(kHop, Guarded([this, one] { Run(one); }));
    }
  }

  void Break(proxy::link_close_reason aWhy)
  {
    if (auto* listener = std::exchange(mListener, nullptr)) {
      listener->Ended(aWhy, mCluster.Time().Now());
    }
  }

private:
  std::function<void()> Guarded(std::function<void()> aWhat)
  {
    return [alive = mAlive, what = std::move(aWhat)] {
      if (*alive) {
        what();
      }
    };
  }

  void Opened()
  {
    auto* server = mCluster.Find(mServer);
    if (server == nullptr || !server->up) {
      Break(proxy::link_close_reason::kUnreachable);
    } else if (mCluster.Chance(mCluster.Rates().refusedConnection)) {
      Break(proxy::link_close_reason::kServerFull);
    } else {
      server->links.insert(this);
      mListener->Opened(server->At(), mCluster.Time().Now());
    }
  }

  void Run(const proxy::command& aCommand)
  {
    auto* server = mCluster.Find(mServer);
    if (mListener == nullptr || server == nullptr || !server->up) {
      return;
    }
    if (mCluster.Chance(mCluster.Rates().brokenConnection)) {
      Break(proxy::link_close_reason::kBroken);
      return;
    }
    proxy::answer made;
    Execute(aCommand, *server, made);
    made.state = !mOpen ? transaction_state::kIdle
                        : (mFailed ? transaction_state::kFailed
                                   : transaction_state::kOpen);
    made.position = server->At();
    if (mCluster.Chance(mCluster.Rates().lostAnswer)) {
      return;
    }
    const auto work = std::chrono::milliseconds{ 1 + mCluster.Random()() % 12 };
    mBusyUntil = std::max(mBusyUntil, mCluster.Time().Now()) + work;
    mCluster.Time().At(mBusyUntil, Guarded([this, made] {
                         if (mListener != nullptr) {
                           mListener->Answered(made, mCluster.Time().Now());
                         }
                       }));
  }

  static void Refuse(proxy::answer& aOut, failure_code aCode)
  {
    aOut.failed = proxy::failure{ aCode, "" };
  }

  void Execute(const proxy::command& aCommand,
               fake_group::server& aServer,
               proxy::answer& aOut)
  {
    switch (aCommand.kind) {
      case command_kind::kReset:
        mValues.clear();
        mPrepared.clear();
        return;
      case command_kind::kSet:
        mValues[aCommand.name] = aCommand.argument;
        return;
      case command_kind::kPrepare:
        mPrepared[aCommand.name] = { aCommand.argument.value_or(""),
                                     aCommand.writes };
        return;
      case command_kind::kBegin:
      case command_kind::kBeginReadOnly:
        Begin(aCommand, aServer, aOut);
        return;
      case command_kind::kRollback:
        EndTransaction();
        return;
      case command_kind::kVerbatim:
      case command_kind::kExecute:
        Statement(aCommand, aServer, aOut);
        return;
      default:
        return;
    }
  }

  void Begin(const proxy::command& aCommand,
             fake_group::server& aServer,
             proxy::answer& aOut)
  {
    if (mOpen) {
      mCluster.AddViolation("a transaction begins inside another one");
    }
    if (aCommand.floor && !aServer.Has(*aCommand.floor)) {
      Refuse(aOut, failure_code::kLagging);
    } else if (aCommand.kind == command_kind::kBegin && !aServer.leads) {
      Refuse(aOut, failure_code::kReadOnly);
    } else if (mCluster.Chance(mCluster.Rates().busy)) {
      Refuse(aOut, failure_code::kBusy);
    } else {
      mOpen = true;
      mReadOnly = aCommand.kind == command_kind::kBeginReadOnly;
      mSnapshotIndex = aServer.applied;
    }
  }

  void EndTransaction()
  {
    mOpen = false;
    mFailed = false;
    mCaller = 0;
    mTransaction = 0;
    mPending.clear();
  }

  void Statement(const proxy::command& aCommand,
                 fake_group::server& aServer,
                 proxy::answer& aOut)
  {
    if (mFailed) {
      Refuse(aOut, failure_code::kMalformed);
      return;
    }
    const auto& from = mCluster.issuedRequests[aCommand.id];
    CheckSession(aCommand, from);
    const bool isCommit = aCommand.text == "COMMIT";
    bool writes = aCommand.text.starts_with("WRITE");
    if (aCommand.kind == command_kind::kExecute) {
      const auto found = mPrepared.find(aCommand.name);
      if (found == mPrepared.end()) {
        Refuse(aOut, failure_code::kNoStatement);
        return;
      }
      if (found->second.first != from.shape) {
        mCluster.AddViolation("a prepared statement runs another text");
      }
      writes = found->second.second;
    }
    if (mCluster.Chance(mCluster.Rates().busy)) {
      Refuse(aOut, failure_code::kBusy);
      mFailed = mOpen;
      return;
    }
    if (aCommand.floor && !aServer.Has(*aCommand.floor)) {
      Refuse(aOut, failure_code::kLagging);
      return;
    }
    if ((writes && !aServer.leads) || (mOpen && !mReadOnly && !aServer.leads &&
                                       !(isCommit && mPending.empty()))) {
      Refuse(aOut, failure_code::kReadOnly);
      mFailed = mOpen;
      return;
    }
    Apply(aCommand, from, writes, isCommit, aServer);
    aOut.rows = { "row-" + aCommand.id };
    aOut.signature = "signed-" + aCommand.id;
  }

  void CheckSession(const proxy::command& aCommand, const issued_request& aFrom)
  {
    if (mValues != aFrom.values) {
      mCluster.AddViolation("session values differ for " + aCommand.id);
    }
    if (mOpen && mCaller == 0) {
      mCaller = aFrom.caller;
      mTransaction = aFrom.transaction;
    }
    const bool isInTransaction =
      mOpen ? aFrom.caller == mCaller && aFrom.transaction == mTransaction
            : aFrom.transaction == 0;
    if (!isInTransaction) {
      mCluster.AddViolation("statement " + aCommand.id +
                            " in another transaction");
    }
  }

  void Apply(const proxy::command& aCommand,
             const issued_request& aFrom,
             bool aWrites,
             bool aIsCommit,
             fake_group::server& aServer)
  {
    if (aIsCommit) {
      if (!mPending.empty()) {
        Commit(aServer, mPending);
      }
      EndTransaction();
      return;
    }
    if (aWrites && mOpen) {
      mPending.push_back(aCommand.id);
    } else if (aWrites) {
      Commit(aServer, { aCommand.id });
    } else {
      const auto seen = mOpen ? mSnapshotIndex : aServer.applied;
      if (seen < mCluster.Retained(aFrom.requiredIndex, aFrom.requiredTerm)) {
        mCluster.AddViolation("read " + aCommand.id + " is stale");
      }
    }
  }

  void Commit(fake_group::server& aServer, const std::vector<std::string>& aIds)
  {
    aServer.log.push_back(
      aServer.leads && &aServer == mCluster.Find(mCluster.Group().primary)
        ? mCluster.Group().term
        : mCluster.Group().term - 1);
    aServer.applied = aServer.log.size();
    for (const auto& id : aIds) {
      ++mCluster.outcomes[id].committed;
    }
  }

  simulated_cluster& mCluster;
  std::string mServer;
  proxy::link_listener* mListener;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  clock::time_point mBusyUntil;
  proxy::session_values mValues;
  std::map<std::string, std::pair<std::string, bool>> mPrepared;
  bool mOpen = false;
  bool mReadOnly = false;
  bool mFailed = false;
  std::uint64_t mCaller = 0;
  std::uint64_t mTransaction = 0;
  std::uint64_t mSnapshotIndex = 0;
  std::vector<std::string> mPending;
};

/// The engine of one VM, with its links and host.
class simulated_cluster::vm final
  : public proxy::link_opener
  , public proxy::engine_host
{
public:
  vm(simulated_cluster& aCluster, std::size_t aNumber)
    : mCluster(aCluster)
    , mNumber(aNumber)
    , engine(
        { VmName(aNumber), "domain-" + std::to_string(aNumber % 2), kValidity },
        *this,
        *this)
  {
  }

  std::unique_ptr<proxy::upstream_link> Open(
    const proxy::server& aServer,
    const proxy::path& aVia,
    const std::string& /*aCustomer*/,
    proxy::link_listener& aListener) override;

  void NeedsConfirmation(const std::string&) override {}
  void LeadershipDenied(const std::string&, position::term_id) override {}
  void NeedsTokens(const std::string& /*aCustomer*/,
                   unsigned /*aCount*/) override
  {
  }
  void Decided(const proxy::decision&) override {}
  void ReachabilityChanged(const proxy::server&,
                           bool,
                           std::string_view) override
  {
  }

private:
  simulated_cluster& mCluster;
  std::size_t mNumber;

public:
  proxy::engine engine;
};

std::unique_ptr<proxy::upstream_link>
simulated_cluster::vm::Open(const proxy::server& aServer,
                            const proxy::path& aVia,
                            const std::string& /*aCustomer*/,
                            proxy::link_listener& aListener)
{
  if (aVia.IsDirect()) {
    return std::make_unique<fake_link>(mCluster, aServer.id, aListener);
  }
  const auto through = std::stoul(aVia.vm.substr(3));
  return std::make_unique<relay_link>(
    mCluster.Time(), mCluster.Engine(through), aServer.id, aListener, [this] {
      return mCluster.IsEnding();
    });
}

simulated_cluster::simulated_cluster(std::uint32_t aSeed,
                                     const fault_rates& aRates,
                                     std::size_t aVms)
  : mRandom(aSeed)
  , mRates(aRates)
{
  mGroup.service = "group";
  mGroup.primary = "server-0";
  for (std::size_t number = 0; number < 3; ++number) {
    fake_group::server server;
    server.listed.id = "server-" + std::to_string(number);
    server.listed.service = mGroup.service;
    server.listed.failureDomain = "domain-" + std::to_string(number % 2);
    server.leads = number == 0;
    mGroup.servers[server.listed.id] = server;
  }
  for (std::size_t number = 0; number < aVms; ++number) {
    mVms.push_back(std::make_unique<vm>(*this, number));
  }
}

simulated_cluster::~simulated_cluster()
{
  mIsEnding = true;
}

proxy::engine&
simulated_cluster::Engine(std::size_t aVm)
{
  return mVms[aVm]->engine;
}

std::uint64_t
simulated_cluster::Retained(std::uint64_t aCount, position::term_id aTerm) const
{
  for (const auto& [term, base] : promotionBases) {
    aCount = term > aTerm ? std::min(aCount, base) : aCount;
  }
  return aCount;
}

bool
simulated_cluster::Chance(unsigned aOfThousand)
{
  return mRandom() % 1000 < aOfThousand;
}

fake_group::server*
simulated_cluster::Find(const std::string& aServer)
{
  const auto found = mGroup.servers.find(aServer);
  return found == mGroup.servers.end() ? nullptr : &found->second;
}

void
simulated_cluster::Configure(unsigned aMaxConnections)
{
  auto made = std::make_shared<proxy::configuration>();
  made->version = 1;
  proxy::service service{ mGroup.service, aMaxConnections };
  made->services[mGroup.service] = service;
  const std::pair<const char*, proxy::read_policy> routes[] = {
    { "db-primary", proxy::read_policy::kPrimary },
    { "db-bounded", proxy::read_policy::kBoundedStaleness },
    { "db-own", proxy::read_policy::kReadYourWrites },
  };
  for (const auto& [name, policy] : routes) {
    proxy::route route;
    route.name = name;
    route.database = name;
    route.service = mGroup.service;
    route.policy = policy;
    route.maxStaleness = 1500ms;
    route.statementTimeout = 800ms;
    made->routes[name] = std::make_shared<proxy::route>(route);
  }
  std::vector<proxy::server> servers;
  for (const auto& [id, server] : mGroup.servers) {
    servers.push_back(server.listed);
  }
  std::vector<proxy::fleet_vm> fleet;
  for (std::size_t number = 0; number < mVms.size(); ++number) {
    fleet.push_back({ VmName(number),
                      "domain-" + std::to_string(number % 2),
                      "127.0.0.1",
                      1,
                      false });
  }
  for (std::size_t number = 0; number < mVms.size(); ++number) {
    auto& engine = Engine(number);
    engine.SetConfiguration(made, mTime.Now());
    engine.SetFleet(fleet, mTime.Now());
    engine.SetServers(servers, mTime.Now());
    ScheduleTick(number);
  }
  ConfirmPrimary();
  Replicate();
}

void
simulated_cluster::ScheduleTick(std::size_t aVm)
{
  Engine(aVm).Tick(mTime.Now());
  mTime.At(std::max(Engine(aVm).NextTick(), mTime.Now() + 1ms),
           [this, aVm] { ScheduleTick(aVm); });
}

// Replicas receive records at once and apply them some time later.
void
simulated_cluster::Replicate()
{
  const auto& primary = *Find(mGroup.primary);
  for (auto& [id, server] : mGroup.servers) {
    if (!server.leads && server.up && Chance(700)) {
      server.applied =
        std::min<std::uint64_t>(server.log.size(), primary.log.size());
      server.log = primary.log;
    }
  }
  mTime.After(kReplicationInterval, [this] { Replicate(); });
}

void
simulated_cluster::ConfirmPrimary()
{
  auto* primary = Find(mGroup.primary);
  if (mGroup.confirmations && primary->up) {
    mGroup.confirmedAt = mTime.Now();
    const proxy::confirmation confirmed{ mGroup.term,
                                         mGroup.primary,
                                         mTime.Now() };
    mTime.After(2 * kHop, [this, confirmed] {
      for (auto& one : mVms) {
        one->engine.Confirm(mGroup.service, confirmed, mTime.Now());
      }
    });
  }
  mTime.After(kConfirmationInterval, [this] { ConfirmPrimary(); });
}

void
simulated_cluster::FailPrimary()
{
  mGroup.confirmations = false;
  const auto old = mGroup.primary;
  // Half of the time the old primary keeps running and still believes that it
  // is the primary.
  const bool dies = Chance(500);
  if (dies) {
    Find(old)->up = false;
    const auto links = Find(old)->links;
    for (auto* link : links) {
      link->Break(proxy::link_close_reason::kBroken);
    }
  }
  mTime.At(mGroup.confirmedAt + kValidity, [this, old] {
    fake_group::server* best = nullptr;
    for (auto& [id, server] : mGroup.servers) {
      const bool usable = id != old && server.up;
      if (usable && (best == nullptr || server.log.size() > best->log.size())) {
        best = &server;
      }
    }
    if (best == nullptr) {
      return;
    }
    ++mGroup.term;
    best->leads = true;
    best->applied = best->log.size();
    mGroup.primary = best->listed.id;
    // Replicas that were ahead are truncated.
    for (auto& [id, server] : mGroup.servers) {
      if (id != old) {
        server.log.resize(std::min(server.log.size(), best->log.size()));
        server.applied =
          std::min<std::uint64_t>(server.applied, server.log.size());
      }
    }
    // Acknowledged records that were rolled back need not be seen any more.
    const std::uint64_t base = best->log.size();
    promotionBases[mGroup.term] = base;
    for (auto& [at, position] : acknowledged) {
      position = std::min(position, base);
    }
    mGroup.confirmations = true;
    mTime.After(500ms, [this, old, base] {
      auto* back = Find(old);
      back->up = true;
      back->leads = false;
      back->log = Find(mGroup.primary)->log;
      back->applied = std::min<std::uint64_t>(back->applied, base);
    });
  });
}

} // namespace currantshed::test

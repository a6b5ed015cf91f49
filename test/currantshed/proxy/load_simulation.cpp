#include "test/currantshed/proxy/load_simulation.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "test/currantshed/proxy/relay_link.hpp"

namespace currantshed::test {

using namespace std::chrono_literals;
using proxy::command_kind;
using proxy::failure_code;
using proxy::statement_kind;

namespace {

constexpr auto kHop = 1ms;
constexpr auto kHandshake = 12ms;
constexpr auto kValidity = 1000ms;
constexpr auto kConfirmationInterval = 350ms;
constexpr const char* kService = "group";
constexpr const char* kWrites = "db-writes";
constexpr const char* kReads = "db-reads";
constexpr std::size_t kServers = 3;
constexpr std::size_t kDomains = 3;

std::string
VmName(std::size_t aVm)
{
  return "vm-" + std::to_string(aVm);
}

std::string
StreamName(std::size_t aStream)
{
  return "db-stream-" + std::to_string(aStream);
}

std::string
DomainName(std::size_t aNumber)
{
  return "domain-" + std::to_string(aNumber % kDomains);
}

} // namespace

model_server::model_server(timeline& aTime,
                           std::mt19937& aRandom,
                           unsigned aSlots)
  : mTime(aTime)
  , mRandom(aRandom)
  , mSlots(aSlots)
{
}

bool
model_server::Submit(std::chrono::microseconds aMean,
                     std::function<void()> aDone)
{
  if (!HasSlot() && mWaiting.size() >= maxWaiting) {
    ++rejected;
    return false;
  }
  ++accepted;
  // Between 0.5 and 1.5 times the mean.
  const auto part = 0.5 + static_cast<double>(mRandom() % 1000) / 1000.0;
  const auto time = std::chrono::duration_cast<std::chrono::microseconds>(
    aMean * (part * slowdown));
  if (HasSlot()) {
    Run({ time, std::move(aDone) });
  } else {
    mWaiting.push_back({ time, std::move(aDone) });
  }
  return true;
}

void
model_server::Crash()
{
  isUp = false;
  BreakConnections();
}

void
model_server::CutOff(std::function<bool(std::size_t)> aIsCutOff)
{
  mIsCutOff = std::move(aIsCutOff);
  BreakConnections();
}

void
model_server::BreakConnections()
{
  for (const auto& [number, connection] : open) {
    if (!CanReach(connection.vm)) {
      connection.breakOff();
    }
  }
}

bool
model_server::Sheds()
{
  constexpr unsigned kParts = 1000;
  const bool sheds =
    shedFraction > 0 &&
    static_cast<double>(mRandom() % kParts) < shedFraction * kParts;
  rejected += sheds ? 1 : 0;
  return sheds;
}

void
model_server::Run(work aWork)
{
  ++mRunning;
  mTime.After(aWork.time, [this, done = std::move(aWork.done)] {
    --mRunning;
    done();
    if (HasSlot() && !mWaiting.empty()) {
      auto next = std::move(mWaiting.front());
      mWaiting.pop_front();
      Run(std::move(next));
    }
  });
}

load_result&
load_result::operator+=(const load_result& aOther)
{
  requests += aOther.requests;
  inTime += aOther.inTime;
  late += aOther.late;
  lost += aOther.lost;
  refusals += aOther.refusals;
  promptRefusals += aOther.promptRefusals;
  writes += aOther.writes;
  writesInTime += aOther.writesInTime;
  return *this;
}

/// A direct connection to a model server.
class load_simulation::link final : public proxy::upstream_link
{
public:
  link(load_simulation& aSimulation,
       model_server& aServer,
       std::size_t aVm,
       const bool& aIsUp,
       proxy::link_listener& aListener)
    : mSimulation(aSimulation)
    , mServer(aServer)
    , mIsUp(aIsUp)
    , mListener(aListener)
    , mNumber(++aServer.connections)
  {
    mServer.open[mNumber] = { aVm, [this] {
                               End(proxy::link_close_reason::kBroken);
                             } };
    if (!mServer.CanReach(aVm)) {
      End(proxy::link_close_reason::kUnreachable);
      return;
    }
    After(2 * kHop + kHandshake, [this] {
      if (mServer.reachable && !mHasEnded && mIsUp) {
        mListener.Opened(mSimulation.At(mServer), mSimulation.mTime.Now());
      }
    });
  }
  link(const link&) = delete;
  link& operator=(const link&) = delete;
  ~link() override
  {
    *mAlive = false;
    mServer.open.erase(mNumber);
  }

  void Send(const std::vector<proxy::command>& aCommands) override
  {
    for (const auto& one : aCommands) {
      After(kHop, [this, one] { Arrived(one); });
    }
  }

private:
  void After(clock::duration aDuration, std::function<void()> aWhat)
  {
    mSimulation.mTime.After(aDuration,
                            [alive = mAlive, what = std::move(aWhat)] {
                              if (*alive) {
                                what();
                              }
                            });
  }

  void Arrived(const proxy::command& aCommand)
  {
    if (!mServer.reachable || mHasEnded) {
      return;
    }
    if (aCommand.kind != command_kind::kVerbatim) {
      Answer({});
      return;
    }
    const bool writes = aCommand.text.starts_with("WRITE");
    if (aCommand.floor && mSimulation.At(mServer) < *aCommand.floor) {
      Refuse(failure_code::kLagging);
      return;
    }
    if (mServer.Sheds()) {
      Refuse(failure_code::kBusy);
      return;
    }
    const auto& shape = mSimulation.mShape;
    auto work = writes ? shape.writeWork : shape.readWork;
    for (std::size_t i = 0; i < shape.streams.size(); ++i) {
      work =
        aCommand.text == "READ " + StreamName(i) ? shape.streams[i].work : work;
    }
    // The server finishes the work even if the connection closes.
    const bool isAccepted =
      mServer.Submit(work,
                     [server = &mServer,
                      simulation = &mSimulation,
                      arrivedAt = mSimulation.mTime.Now(),
                      this,
                      alive = mAlive,
                      aCommand,
                      writes] {
                       const auto now = simulation->mTime.Now();
                       if (writes) {
                         simulation->mLog.push_back(now);
                         ++server->writes;
                         server->writeTime += now - arrivedAt;
                       }
                       if (*alive) {
                         proxy::answer made;
                         made.rows = { "row" };
                         made.signature = "signed-" + aCommand.id;
                         Answer(std::move(made));
                       }
                     });
    if (!isAccepted) {
      Refuse(failure_code::kBusy);
    }
  }

  void End(proxy::link_close_reason aWhy)
  {
    if (std::exchange(mHasEnded, true)) {
      return;
    }
    After(2 * kHop,
          [this, aWhy] { mListener.Ended(aWhy, mSimulation.mTime.Now()); });
  }

  void Refuse(failure_code aCode)
  {
    proxy::answer made;
    made.failed = proxy::failure{ aCode, "" };
    Answer(std::move(made));
  }

  void Answer(proxy::answer aAnswer)
  {
    aAnswer.position = mSimulation.At(mServer);
    After(kHop, [this, made = std::move(aAnswer)] {
      if (mServer.reachable && !mHasEnded && mIsUp) {
        mListener.Answered(made, mSimulation.mTime.Now());
      }
    });
  }

  load_simulation& mSimulation;
  model_server& mServer;
  // Whether the VM is alive.
  const bool& mIsUp;
  proxy::link_listener& mListener;
  std::uint64_t mNumber;
  bool mHasEnded = false;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

/// One VM's engine.
class load_simulation::vm final
  : public proxy::link_opener
  , public proxy::engine_host
{
public:
  vm(load_simulation& aSimulation, std::size_t aNumber)
    : mSimulation(aSimulation)
    , mNumber(aNumber)
    , engine({ VmName(aNumber), DomainName(aNumber), kValidity }, *this, *this)
  {
  }

  std::unique_ptr<proxy::upstream_link> Open(
    const proxy::server& aServer,
    const proxy::path& aVia,
    const std::string& /*aCustomer*/,
    proxy::link_listener& aListener) override
  {
    if (aVia.IsDirect()) {
      return std::make_unique<link>(
        mSimulation, *mSimulation.Find(aServer.id), mNumber, isUp, aListener);
    }
    const auto through = std::stoul(aVia.vm.substr(3));
    auto made = std::make_unique<relay_link>(
      mSimulation.mTime,
      mSimulation.mVms[through]->engine,
      aServer.id,
      aListener,
      [this] { return mSimulation.mIsEnding; },
      mNumber < mSimulation.mShape.vmsWithAttributes);
    mSimulation.mVms[through]->mRelayed.push_back(
      { made->IsAlive(), made.get() });
    if (!mSimulation.mVms[through]->isUp) {
      made->Break();
    }
    return made;
  }

  void NeedsConfirmation(const std::string&) override {}
  void LeadershipDenied(const std::string&, position::term_id) override {}
  void NeedsTokens(const std::string& /*aCustomer*/,
                   unsigned /*aCount*/) override
  {
  }
  void Decided(const proxy::decision& aDecision) override
  {
    mSimulation.mRetriedElsewhere += aDecision.outcome == "elsewhere" ? 1 : 0;
  }
  void ReachabilityChanged(const proxy::server&,
                           bool,
                           std::string_view) override
  {
  }

  [[nodiscard]] std::size_t RelayedLinks() const
  {
    return static_cast<std::size_t>(
      std::count_if(mRelayed.begin(), mRelayed.end(), [](const auto& aOne) {
        return *aOne.first;
      }));
  }

  void Kill()
  {
    isUp = false;
    for (const auto& [isAlive, one] : mRelayed) {
      if (*isAlive) {
        one->Break();
      }
    }
  }

  bool isUp = true;

private:
  load_simulation& mSimulation;
  std::size_t mNumber;
  // Links of other VMs through this one.
  std::vector<std::pair<std::shared_ptr<const bool>, relay_link*>> mRelayed;

public:
  proxy::engine engine;
};

/// One operation: a session with a single statement, retried after rejections.
class load_simulation::caller final : public proxy::caller
{
public:
  caller(load_simulation& aSimulation,
         std::uint64_t aNumber,
         bool aWrites,
         clock::time_point aStartedAt,
         std::optional<std::size_t> aStream = std::nullopt)
    : mSimulation(aSimulation)
    , mNumber(aNumber)
    , mWrites(aWrites)
    , mStream(aStream)
    , mStartedAt(aStartedAt)
    , mRetries(aSimulation.mShape.retries)
  {
    StartAttempt();
  }

  void Deliver(const proxy::answer& aAnswer) override
  {
    const auto now = mSimulation.mTime.Now();
    if (!aAnswer.failed) {
      const bool isInTime = now - mStartedAt <= Target();
      Result().writesInTime += mWrites && isInTime ? 1 : 0;
      Complete(isInTime ? &load_result::inTime : &load_result::late);
      return;
    }
    auto& result = Result();
    ++result.refusals;
    result.promptRefusals += now - mAttemptedAt <= Target() / 4 ? 1 : 0;
    const bool mayRetry =
      mRetries > 0 && aAnswer.failed->code == failure_code::kBusy;
    if (!mayRetry) {
      Complete(&load_result::lost);
      return;
    }
    --mRetries;
    mSimulation.mTime.After(mSimulation.mShape.backoff,
                            [this] { StartAttempt(); });
  }

  void Close() override {}

private:
  void StartAttempt()
  {
    CloseSession();
    mAttemptedAt = mSimulation.mTime.Now();
    do {
      mVm = mSimulation.mRandom() % mSimulation.mVms.size();
    } while (!mSimulation.mVms[mVm]->isUp);
    auto& engine = mSimulation.mVms[mVm]->engine;
    const std::string database = mStream   ? StreamName(*mStream)
                                 : mWrites ? kWrites
                                           : kReads;
    const auto key =
      mStream ? mSimulation.mShape.streams[*mStream].customer : std::string();
    mSession = engine.Open(database, *this, key);
    proxy::session_statement statement;
    statement.kind = mWrites ? statement_kind::kWrite : statement_kind::kRead;
    statement.id = std::to_string(mNumber) + "-" + std::to_string(mRetries);
    statement.text = mStream   ? "READ " + database
                     : mWrites ? "WRITE a b"
                               : "READ a";
    engine.Submit(*mSession, statement, mSimulation.mTime.Now());
  }

  // Deferred, since the engine may be handling an event of this session.
  void CloseSession()
  {
    if (mSession) {
      mSimulation.mVms[mVm]->engine.Close(*mSession, mSimulation.mTime.Now());
      mSession.reset();
    }
  }

  void Complete(unsigned load_result::*aHow)
  {
    ++(Result().*aHow);
    mSimulation.mTime.After(0ms, [this] {
      CloseSession();
      mSimulation.mFinished.push_back(mNumber);
    });
  }

  [[nodiscard]] load_result& Result()
  {
    const auto second =
      std::chrono::floor<std::chrono::seconds>(mStartedAt - mSimulation.mStart)
        .count();
    auto& results =
      mStream ? mSimulation.mStreamResults[*mStream] : mSimulation.mResults;
    return results[static_cast<std::size_t>(second)];
  }

  [[nodiscard]] std::chrono::milliseconds Target() const
  {
    if (mStream) {
      return mSimulation.mShape.streams[*mStream].target;
    }
    return mWrites ? mSimulation.mShape.writeTarget
                   : mSimulation.mShape.readTarget;
  }

  load_simulation& mSimulation;
  std::uint64_t mNumber;
  bool mWrites;
  // Empty for the reads and writes that are no stream's.
  std::optional<std::size_t> mStream;
  clock::time_point mStartedAt;
  clock::time_point mAttemptedAt;
  unsigned mRetries;
  std::size_t mVm = 0;
  std::optional<proxy::engine::session_id> mSession;
};

load_simulation::load_simulation(const load_shape& aShape, std::uint32_t aSeed)
  : mShape(aShape)
  , mRandom(aSeed)
  , mStart(mTime.Now())
{
  std::vector<proxy::server> servers;
  for (std::size_t i = 0; i < kServers; ++i) {
    mServers.push_back(
      std::make_unique<model_server>(mTime, mRandom, aShape.slots));
    auto& made = *mServers.back();
    made.leads = i == 0;
    made.listed.id = "server-" + std::to_string(i);
    made.listed.service = kService;
    made.listed.failureDomain = DomainName(i);
    made.listed.slots = aShape.reportsSlots ? aShape.slots : 0;
    servers.push_back(made.listed);
  }
  auto configuration = std::make_shared<proxy::configuration>();
  configuration->version = 1;
  configuration->services[kService] = { kService, aShape.maxConnections };
  for (const bool writes : { true, false }) {
    proxy::route route;
    route.name = writes ? kWrites : kReads;
    route.database = route.name;
    route.service = kService;
    route.policy = writes ? proxy::read_policy::kPrimary
                          : proxy::read_policy::kBoundedStaleness;
    route.maxStaleness = aShape.staleness;
    route.statementTimeout = aShape.timeout;
    route.target = writes ? aShape.writeTarget : aShape.readTarget;
    route.priority = writes ? 1 : 2;
    route.isPublic = true;
    configuration->routes[route.name] = std::make_shared<proxy::route>(route);
  }
  if (!aShape.streams.empty()) {
    auto customers = std::make_shared<customer::directory>();
    std::set<std::string> added;
    for (std::size_t i = 0; i < aShape.streams.size(); ++i) {
      const auto& stream = aShape.streams[i];
      if (added.insert(stream.customer).second) {
        customers->Add({ stream.customer, std::nullopt }, { stream.customer });
      }
      proxy::route route;
      route.name = StreamName(i);
      route.database = route.name;
      route.service = kService;
      route.policy = proxy::read_policy::kBoundedStaleness;
      route.maxStaleness = aShape.staleness;
      route.statementTimeout = stream.target + aShape.timeout;
      route.target = stream.target;
      route.priority = stream.priority;
      configuration->routes[route.name] = std::make_shared<proxy::route>(route);
    }
    configuration->customers = std::move(customers);
  }
  streamFactors.resize(aShape.streams.size(), 1.0);
  mStreamResults.resize(aShape.streams.size());
  auto& fleet = mFleet;
  for (std::size_t i = 0; i < aShape.vms; ++i) {
    fleet.push_back({ VmName(i), DomainName(i), "127.0.0.1", 1, false });
    mVms.push_back(std::make_unique<vm>(*this, i));
  }
  for (std::size_t i = 0; i < aShape.vms; ++i) {
    auto& engine = mVms[i]->engine;
    engine.SetConfiguration(configuration, mTime.Now());
    engine.SetFleet(fleet, mTime.Now());
    engine.SetServers(servers, mTime.Now());
    ScheduleTick(i);
  }
  ConfirmPrimary();
  ScheduleRequest(true);
  ScheduleRequest(false);
  for (std::size_t i = 0; i < aShape.streams.size(); ++i) {
    ScheduleOfStream(i);
  }
}

load_simulation::~load_simulation()
{
  mIsEnding = true;
}

std::size_t
load_simulation::BusiestHolder() const
{
  const auto found = std::max_element(
    mVms.begin(), mVms.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft->RelayedLinks() < aRight->RelayedLinks();
    });
  return static_cast<std::size_t>(found - mVms.begin());
}

void
load_simulation::Kill(std::size_t aVm)
{
  mVms[aVm]->Kill();
  mTime.After(1s, [this, aVm] {
    std::erase_if(mFleet,
                  [&](const auto& aOne) { return aOne.name == VmName(aVm); });
    for (auto& one : mVms) {
      if (one->isUp) {
        one->engine.SetFleet(mFleet, mTime.Now());
      }
    }
  });
}

void
load_simulation::Run(std::chrono::milliseconds aDuration)
{
  mTime.RunUntil(mTime.Now() + aDuration);
}

load_result
load_simulation::Between(std::size_t aFrom, std::size_t aTo) const
{
  load_result sum;
  for (auto i = aFrom; i < std::min(aTo, mResults.size()); ++i) {
    sum += mResults[i];
  }
  return sum;
}

load_result
load_simulation::BetweenOf(std::size_t aStream,
                           std::size_t aFrom,
                           std::size_t aTo) const
{
  load_result sum;
  const auto& results = mStreamResults[aStream];
  for (auto i = aFrom; i < std::min(aTo, results.size()); ++i) {
    sum += results[i];
  }
  return sum;
}

std::uint64_t
load_simulation::Accepted() const
{
  std::uint64_t sum = 0;
  for (const auto& one : mServers) {
    sum += one->accepted;
  }
  return sum;
}

std::uint64_t
load_simulation::Rejected() const
{
  std::uint64_t sum = 0;
  for (const auto& one : mServers) {
    sum += one->rejected;
  }
  return sum;
}

model_server*
load_simulation::Find(const std::string& aServer)
{
  for (const auto& one : mServers) {
    if (one->listed.id == aServer) {
      return one.get();
    }
  }
  return nullptr;
}

// A replica has the records written before its lag; the primary has all.
position::log_position
load_simulation::At(const model_server& aServer) const
{
  const auto upTo = aServer.leads ? mTime.Now() : mTime.Now() - aServer.lag;
  const auto end = std::upper_bound(mLog.begin(), mLog.end(), upTo);
  return { 1, static_cast<std::uint64_t>(end - mLog.begin()) };
}

void
load_simulation::ScheduleTick(std::size_t aVm)
{
  if (!mVms[aVm]->isUp) {
    return;
  }
  auto& engine = mVms[aVm]->engine;
  engine.Tick(mTime.Now());
  mTime.At(std::max(engine.NextTick(), mTime.Now() + 1ms),
           [this, aVm] { ScheduleTick(aVm); });
}

void
load_simulation::ConfirmPrimary()
{
  if (confirmations) {
    const auto& primary = *mServers.front();
    const proxy::confirmation confirmed{ 1, primary.listed.id, mTime.Now() };
    const proxy::position_sample sample{ 1, At(primary), mTime.Now() };
    mTime.After(2 * kHop, [this, confirmed, sample] {
      for (auto& one : mVms) {
        if (!one->isUp) {
          continue;
        }
        one->engine.Confirm(kService, confirmed, mTime.Now());
        one->engine.AddSample(kService, sample);
      }
    });
  }
  mTime.After(kConfirmationInterval, [this] { ConfirmPrimary(); });
}

void
load_simulation::ScheduleRequest(bool aWrites)
{
  const auto rate = (aWrites ? mShape.writes : mShape.reads) * factor;
  std::exponential_distribution<double> gap(rate);
  const auto next = std::chrono::duration_cast<clock::duration>(
    std::chrono::duration<double>(gap(mRandom)));
  mTime.After(next, [this, aWrites] {
    RemoveFinished();
    const auto second = Second();
    mResults.resize(std::max(mResults.size(), second + 1));
    ++mResults[second].requests;
    mResults[second].writes += aWrites ? 1 : 0;
    const auto number = ++mLastCaller;
    mCallers[number] =
      std::make_unique<caller>(*this, number, aWrites, mTime.Now());
    ScheduleRequest(aWrites);
  });
}

void
load_simulation::ScheduleOfStream(std::size_t aStream)
{
  const auto rate = mShape.streams[aStream].reads * streamFactors[aStream];
  std::exponential_distribution<double> gap(rate);
  const auto next = std::chrono::duration_cast<clock::duration>(
    std::chrono::duration<double>(gap(mRandom)));
  mTime.After(next, [this, aStream] {
    RemoveFinished();
    const auto second = Second();
    auto& results = mStreamResults[aStream];
    results.resize(std::max(results.size(), second + 1));
    ++results[second].requests;
    const auto number = ++mLastCaller;
    mCallers[number] =
      std::make_unique<caller>(*this, number, false, mTime.Now(), aStream);
    ScheduleOfStream(aStream);
  });
}

void
load_simulation::RemoveFinished()
{
  for (const auto number : std::exchange(mFinished, {})) {
    mCallers.erase(number);
  }
}

std::size_t
load_simulation::Second() const
{
  return static_cast<std::size_t>(
    std::chrono::floor<std::chrono::seconds>(mTime.Now() - mStart).count());
}

} // namespace currantshed::test

#include "test/currantshed/store/era_model.hpp"

#include <algorithm>
#include <utility>

#include "currantshed/node/cluster_state.hpp"
#include "currantshed/store/era_guard.hpp"
#include "currantshed/store/errors.hpp"
#include "currantshed/store/prefix_view.hpp"
#include "currantshed/store/registration.hpp"

namespace currantshed::test {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kVms = 4;
constexpr auto kTickInterval = 10ms;
constexpr const char* kConfiguration = "op/config";
constexpr const char* kGroup = "group";
// Time within which an acknowledged configuration must be applied in the
// absence of faults.
constexpr auto kApplyBound = 3000ms;
constexpr auto kSnapshotInterval = 200ms;
constexpr auto kSnapshotRetention = 6000ms;
// Time after which the operator writes lost changes again.
constexpr auto kRewriteTime = 1500ms;
constexpr auto kLeaseTime = 2000ms;
constexpr auto kCallTime = 1000ms;
// Maximum time between a command and the read that permits it.
constexpr auto kCommandValidity = 300ms;

std::string
Name(std::size_t aVm)
{
  return "vm-" + std::to_string(aVm);
}

} // namespace

/// A VM: the real components, connected as in node::control.
struct era_model::modelled_vm
{
  modelled_vm(era_model& aModel,
              std::size_t aNumber,
              std::uint64_t aIncarnation);

  // Callbacks of a VM that has stopped are ignored.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  std::size_t number;
  std::uint64_t incarnation;
  bool isDisconnected = false;
  std::unique_ptr<store_link> calls;
  store::era_guard guard;
  store::prefix_view configuration;
  store::prefix_view own;
  store::registration registration;
  std::uint64_t version = 0;
  bool isChecking = false;
  bool isClaiming = false;
  clock::time_point nextClaim{};
  clock::time_point nextCheck{};
  clock::time_point verifiedAt{};
  clock::time_point stableSince;
};

/// The connection of a VM to the store.
class era_model::store_link final : public store::key_value
{
public:
  store_link(era_model& aModel, std::size_t aVm)
    : mModel(aModel)
    , mVm(aVm)
  {
  }

  ~store_link() override { *mAlive = false; }

  void SetCallTimeout(std::chrono::milliseconds) override {}

  void Get(std::string aKey, item_callback aDone) override
  {
    Call([this, aKey, aDone](bool aIsLost) -> std::function<void()> {
      if (aIsLost) {
        return
          [this, aDone] { aDone(store::errc::kTimeout, {}, NoResponse()); };
      }
      const auto& items = mModel.mStore.items;
      const auto found = items.find(aKey);
      const auto era = mModel.mEra;
      std::optional<store::item> item;
      if (found != items.end()) {
        item = found->second;
      }
      return [this, aDone, item, era] {
        auto read = item;
        if (read) {
          read = WithEra(*read, era);
        }
        aDone({}, read, Reply(era));
      };
    });
  }

  void Range(std::string aPrefix, range_callback aDone) override
  {
    Call([this, aPrefix, aDone](bool aIsLost) -> std::function<void()> {
      if (aIsLost) {
        return
          [this, aDone] { aDone(store::errc::kTimeout, {}, {}, NoResponse()); };
      }
      std::vector<store::item> items;
      for (const auto& [key, item] : mModel.mStore.items) {
        if (key.starts_with(aPrefix)) {
          items.push_back(item);
        }
      }
      const auto era = mModel.mEra;
      return [this, aDone, items, era, number = mModel.mStore.number] {
        auto read = items;
        for (auto& one : read) {
          one = WithEra(one, era);
        }
        aDone({}, read, { EraOf(era), number }, Reply(era));
      };
    });
  }

  void Watch(store::changes_request aWhat,
             std::chrono::milliseconds aMaxWait,
             watch_callback aDone) override
  {
    mWatches[aWhat.prefix] = Follow(aWhat.prefix, aWhat.after, aMaxWait, aDone);
  }

  void ChangesSince(store::changes_request aWhat, watch_callback aDone) override
  {
    (void)Follow(aWhat.prefix, aWhat.after, 1ms, aDone);
  }

  void CancelWatch(const std::string& aPrefix) override
  {
    if (const auto found = mWatches.find(aPrefix); found != mWatches.end()) {
      found->second();
    }
  }

  void Commit(store::transaction aWhat, commit_callback aDone) override
  {
    const auto known = Known();
    Call([this, aWhat, aDone, known](bool aIsLost) -> std::function<void()> {
      if (aIsLost) {
        return [this, aDone] {
          aDone(store::commit_outcome::kUnknown, {}, NoResponse());
        };
      }
      const auto outcome = Do(aWhat, known);
      const auto era = mModel.mEra;
      return [this, aDone, outcome, era, number = mModel.mStore.number] {
        aDone(outcome, { EraOf(era), number }, Reply(era));
      };
    });
  }

  void Grant(std::chrono::milliseconds, grant_callback aDone) override
  {
    Call([this, aDone](bool aIsLost) -> std::function<void()> {
      if (aIsLost) {
        return
          [this, aDone] { aDone(store::errc::kTimeout, {}, NoResponse()); };
      }
      auto& state = mModel.mStore;
      state.leases[++state.lastLease] = mModel.mTime.Now() + kLeaseTime;
      state.owners[state.lastLease] = mVm;
      const auto era = mModel.mEra;
      return [this, aDone, era, lease = state.lastLease] {
        aDone({}, { EraOf(era), lease }, Reply(era));
      };
    });
  }

  void KeepAlive(store::lease_id aLease, keep_alive_callback aDone) override
  {
    const auto known = Known();
    Call([this, aLease, aDone, known](bool aIsLost) -> std::function<void()> {
      if (aIsLost) {
        return [this, aDone] { aDone(store::errc::kTimeout, NoResponse()); };
      }
      const auto found = mModel.mStore.leases.find(aLease.number);
      const bool exists = found != mModel.mStore.leases.end();
      if (exists) {
        mModel.CheckLeaseOwner(mVm, aLease.number, known);
        found->second = mModel.mTime.Now() + kLeaseTime;
      }
      const auto era = mModel.mEra;
      return [this, aDone, era, exists] {
        aDone(exists ? std::error_code{}
                     : make_error_code(store::errc::kLeaseNotFound),
              Reply(era));
      };
    });
  }

  void Revoke(store::lease_id) override {}

private:
  [[nodiscard]] store::response_info NoResponse() const
  {
    return { mModel.mTime.Now() };
  }

  // The era that the VM knows when it sends a call.
  [[nodiscard]] store::era_id Known() const
  {
    return mModel.mVms[mVm]->guard.Era().value_or(0);
  }

  [[nodiscard]] store::era_id EraOf(store::era_id aGivenIn) const
  {
    switch (mModel.mBug) {
      case seeded_bug::kEraIgnored:
        return 0;
      case seeded_bug::kEraOfArrival:
        return mModel.mEra;
      default:
        return aGivenIn;
    }
  }

  [[nodiscard]] store::response_info Reply(store::era_id aGivenIn) const
  {
    return { mModel.mTime.Now(), EraOf(aGivenIn) };
  }

  [[nodiscard]] store::item WithEra(store::item aItem,
                                    store::era_id aGivenIn) const
  {
    aItem.changed.era = EraOf(aGivenIn);
    aItem.lease.era = EraOf(aGivenIn);
    return aItem;
  }

  // Has the store execute a call after a delay, and calls back once: with its
  // response, which may be late, or with a failure.
  void Call(const std::function<std::function<void()>(bool)>& aWhat)
  {
    auto ended = std::make_shared<bool>(false);
    const auto end = [ended, alive = mAlive](const auto& aDeliver) {
      if (!std::exchange(*ended, true) && *alive) {
        aDeliver();
      }
    };
    mModel.mTime.After(kCallTime, [end, aWhat] { end(aWhat(true)); });
    const bool isDisconnected =
      mModel.mVms[mVm] != nullptr && mModel.mVms[mVm]->isDisconnected;
    if (isDisconnected || mModel.Chance(10)) {
      return;
    }
    const auto run = [this, end, aWhat, alive = mAlive, ended] {
      if (!*alive) {
        return;
      }
      auto deliver = aWhat(false);
      if (!mModel.Chance(10)) {
        mModel.mTime.After(mModel.Delay(), [end, deliver] { end(deliver); });
      }
    };
    mModel.mTime.After(mModel.Delay(), [this, run, alive = mAlive] {
      if (!*alive) {
        return;
      }
      if (mModel.mTime.Now() >= mModel.mDownUntil) {
        run();
      } else if (mModel.Chance(500)) {
        mModel.mDelayedCalls.push_back(run);
      }
    });
  }

  // Waits for changes. Returns a function that cancels the watch.
  std::function<void()> Follow(const std::string& aPrefix,
                               store::revision aAfter,
                               std::chrono::milliseconds aMaxWait,
                               const watch_callback& aDone)
  {
    auto ended = std::make_shared<bool>(false);
    const auto end = [ended, alive = mAlive](const auto& aDeliver) {
      if (!std::exchange(*ended, true) && *alive) {
        aDeliver();
      }
    };
    const auto fail = [this, end, aDone] {
      end([&] { aDone(store::errc::kTimeout, {}, {}, NoResponse()); });
    };
    const auto until = mModel.mTime.Now() + aMaxWait;
    // Responds if there are changes or the wait time is over.
    const auto tryOnce =
      [this, ended, end, alive = mAlive, aPrefix, aAfter, aDone, until](
        bool aIsFailed) {
        if (*ended || aIsFailed || !*alive) {
          return true;
        }
        const auto era = mModel.mEra;
        const auto number = mModel.mStore.number;
        if (aAfter.number > number) {
          mModel.mTime.After(mModel.Delay(), [this, end, aDone, era] {
            end([&] {
              aDone(store::errc::kHistoryCompacted, {}, {}, Reply(era));
            });
          });
          return true;
        }
        std::vector<store::key_change> changes;
        for (const auto& one : mModel.mStore.history) {
          if (one.now.changed.number > aAfter.number &&
              one.now.key.starts_with(aPrefix)) {
            changes.push_back(one);
          }
        }
        if (changes.empty() && mModel.mTime.Now() < until) {
          return false;
        }
        mModel.mTime.After(
          mModel.Delay(), [this, end, aDone, era, number, changes] {
            end([&] {
              auto stamped = changes;
              for (auto& one : stamped) {
                one.now = WithEra(one.now, era);
              }
              aDone({}, stamped, { EraOf(era), number }, Reply(era));
            });
          });
        return true;
      };
    mModel.mTime.After(aMaxWait + 2 * kCallTime, fail);
    const bool isDisconnected = mModel.mVms[mVm]->isDisconnected;
    if (!isDisconnected) {
      mModel.mTime.After(mModel.Delay(), [&model = mModel, tryOnce] {
        model.mPendingWatches.push_back(tryOnce);
      });
    }
    return [this, fail] { mModel.mTime.After(1ms, fail); };
  }

  store::commit_outcome Do(const store::transaction& aWhat,
                           store::era_id aKnown)
  {
    auto& state = mModel.mStore;
    for (const auto& one : aWhat.conditions) {
      const auto found = state.items.find(one.key);
      const auto now =
        found == state.items.end() ? 0 : found->second.changed.number;
      if (now != one.changed.number) {
        return store::commit_outcome::kConflict;
      }
    }
    for (const auto& one : aWhat.puts) {
      const auto lease = one.lease.number;
      if (lease != 0 && !state.leases.contains(lease)) {
        return store::commit_outcome::kLeaseNotFound;
      }
      if (lease != 0) {
        mModel.CheckLeaseOwner(mVm, lease, aKnown);
      }
    }
    for (const auto& one : aWhat.puts) {
      mModel.Put(one.key, one.value, one.lease.number);
    }
    return store::commit_outcome::kApplied;
  }

  era_model& mModel;
  std::size_t mVm;
  std::map<std::string, std::function<void()>> mWatches;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

era_model::modelled_vm::modelled_vm(era_model& aModel,
                                    std::size_t aNumber,
                                    std::uint64_t aIncarnation)
  : number(aNumber)
  , incarnation(aIncarnation)
  , calls(std::make_unique<store_link>(aModel, aNumber))
  , guard(*calls,
          { [&aModel, alive = alive](const std::function<void()>& aCall) {
             aModel.mTime.After(1ms, [alive, aCall] {
               if (*alive) {
                 aCall();
               }
             });
           },
            [this, &aModel](std::optional<store::era_id>, store::era_id) {
              configuration.OnEraChanged(aModel.mTime.Now());
              own.OnEraChanged(aModel.mTime.Now());
            } })
  , configuration(guard,
                  kConfiguration,
                  {},
                  { [this](clock::time_point) {
                     const auto& items = configuration.Items();
                     const auto found = items.find(kConfiguration);
                     if (found != items.end()) {
                       const auto read = std::stoull(found->second.value);
                       version = std::max<std::uint64_t>(version, read);
                     }
                   },
                    [](bool, std::error_code) {} })
  , own(guard,
        std::string(node::kClusterPrefix),
        {},
        { [](clock::time_point) {}, [](bool, std::error_code) {} })
  , registration(guard, own, node::VmKey(Name(aNumber)), {})
  , stableSince(aModel.mTime.Now())
{
  node::vm_record record;
  record.where = { Name(aNumber), "10.0.0.1", 7440 };
  record.failureDomain = "here";
  record.incarnation = aIncarnation;
  registration.SetValue(node::SerializeVm(record));
}

era_model::era_model(std::uint32_t aSeed, seeded_bug aBug)
  : mRandom(aSeed)
  , mBug(aBug)
  , mNextVersion(mTime.Now() + 2s)
  , mStableSince(mTime.Now())
{
  WriteConfiguration();
  for (std::size_t i = 0; i < kVms; ++i) {
    mVms.push_back(std::make_unique<modelled_vm>(*this, i, i + 1));
  }
}

era_model::~era_model()
{
  for (auto& one : mVms) {
    *one->alive = false;
  }
}

bool
era_model::Chance(unsigned aOfThousand)
{
  return mRandom() % 1000 < aOfThousand;
}

std::chrono::milliseconds
era_model::Delay()
{
  return Chance(30) ? std::chrono::milliseconds{ mRandom() % 1500 }
                    : std::chrono::milliseconds{ 1 + mRandom() % 5 };
}

void
era_model::ReportViolation(const std::string& aWhat)
{
  const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
    mTime.Now().time_since_epoch() - 1h);
  violations.push_back(std::to_string(at.count()) + " ms: " + aWhat);
}

void
era_model::Run(std::chrono::seconds aSpan)
{
  const auto end = mTime.Now() + aSpan;
  while (mTime.Now() < end && violations.empty()) {
    mTime.RunUntil(mTime.Now() + kTickInterval);
    Step();
  }
}

void
era_model::Step()
{
  InjectFaults();
  const auto now = mTime.Now();
  if (now >= mDownUntil) {
    for (const auto& call : std::exchange(mDelayedCalls, {})) {
      call();
    }
    Expire();
    if (now >= mNextVersion) {
      mNextVersion = now + std::chrono::milliseconds{ 300 + mRandom() % 7000 };
      WriteConfiguration();
    }
    AnswerWatches();
    if (mSnapshots.empty() || now >= mSnapshots.back().at + kSnapshotInterval) {
      mSnapshots.push_back({ now, mStore });
    }
    while (mSnapshots.front().at < now - kSnapshotRetention) {
      mSnapshots.pop_front();
    }
  }
  for (std::size_t i = 0; i < kVms; ++i) {
    ++steps;
    RunVm(i);
    CheckVersions(i);
    CheckVerification(i);
  }
}

void
era_model::InjectFaults()
{
  const auto now = mTime.Now();
  if (now >= mDownUntil && Chance(2)) {
    StartOutage();
  }
  for (std::size_t i = 0; i < kVms; ++i) {
    auto& one = *mVms[i];
    if (Chance(1) && Chance(500)) {
      one.isDisconnected = !one.isDisconnected;
      one.stableSince = now;
    }
    if (one.isDisconnected) {
      one.stableSince = now;
      one.isDisconnected = !Chance(5);
    }
  }
  if (Chance(1) && Chance(300)) {
    const bool areAll = Chance(300);
    for (std::size_t i = 0; i < kVms; ++i) {
      if (areAll || Chance(300)) {
        Restart(i);
      }
    }
  }
}

// The store is down for a moment, then restored from an older snapshot.
void
era_model::StartOutage()
{
  ++restores;
  const auto now = mTime.Now();
  const auto downtime = std::chrono::milliseconds{ mRandom() % 2000 };
  const auto back = now - std::chrono::milliseconds{ mRandom() % 4000 };
  mDownUntil = now + downtime;
  mStableSince = mDownUntil + kRewriteTime + 500ms;
  mTime.At(mDownUntil, [this, back] { RestoreSnapshot(back); });
}

void
era_model::RestoreSnapshot(clock::time_point aTo)
{
  while (mSnapshots.size() > 1 && mSnapshots.back().at > aTo) {
    mSnapshots.pop_back();
  }
  if (!mSnapshots.empty()) {
    mStore = mSnapshots.back().state;
  }
  for (auto& [lease, until] : mStore.leases) {
    until = std::max(until, mTime.Now() + kLeaseTime);
  }
  ++mEra;
  // Pending watches continue to wait, or fail.
  const bool areFailed = Chance(500);
  std::erase_if(mPendingWatches, [areFailed](const auto& aOne) {
    return areFailed && aOne(true);
  });
  const auto era = mEra;
  mTime.After(kRewriteTime, [this, era] {
    const bool isLast = era == mEra && mTime.Now() >= mDownUntil;
    if (isLast) {
      Put(kConfiguration, std::to_string(mAcknowledged.back().version), 0);
    }
  });
}

void
era_model::WriteConfiguration()
{
  const auto version =
    mAcknowledged.empty() ? 1 : mAcknowledged.back().version + 1;
  Put(kConfiguration, std::to_string(version), 0);
  mAcknowledged.push_back({ version, mTime.Now() });
}

void
era_model::Put(const std::string& aKey,
               const std::string& aValue,
               std::uint64_t aLease)
{
  auto& item = mStore.items[aKey];
  item = { aKey, aValue, { 0, ++mStore.number }, { 0, aLease } };
  mStore.history.push_back({ item, false });
}

void
era_model::Remove(const std::string& aKey)
{
  if (mStore.items.erase(aKey) != 0) {
    mStore.history.push_back(
      { { aKey, "", { 0, ++mStore.number }, {} }, true });
  }
}

void
era_model::Expire()
{
  std::set<std::uint64_t> ended;
  for (const auto& [lease, until] : mStore.leases) {
    if (mTime.Now() >= until) {
      ended.insert(lease);
    }
  }
  std::vector<std::string> gone;
  for (const auto& [key, item] : mStore.items) {
    if (ended.contains(item.lease.number)) {
      gone.push_back(key);
    }
  }
  for (const auto& key : gone) {
    Remove(key);
  }
  for (const auto lease : ended) {
    mStore.leases.erase(lease);
  }
}

void
era_model::AnswerWatches()
{
  auto waiting = std::exchange(mPendingWatches, {});
  for (const auto& one : waiting) {
    if (!one(false)) {
      mPendingWatches.push_back(one);
    }
  }
}

void
era_model::Restart(std::size_t aVm)
{
  const auto incarnation = mVms[aVm]->incarnation + kVms;
  *mVms[aVm]->alive = false;
  mVms[aVm] = std::make_unique<modelled_vm>(*this, aVm, incarnation);
}

void
era_model::RunVm(std::size_t aVm)
{
  auto& one = *mVms[aVm];
  const auto now = mTime.Now();
  const auto random = static_cast<double>(mRandom() % 1000) / 1000;
  one.configuration.Tick(now, random);
  one.own.Tick(now, random);
  one.registration.Tick(now, random);
  if (!one.isChecking && one.configuration.IsKnown() && now >= one.nextCheck) {
    one.isChecking = true;
    one.nextCheck = now + 600ms;
    one.configuration.Check(
      now, [&one, now, this](bool aIsAnswered, clock::time_point) {
        one.isChecking = false;
        if (aIsAnswered && mBug == seeded_bug::kVerificationCarriedOver) {
          one.verifiedAt = now;
        }
      });
  }
  TryToClaim(aVm);
  TryToCommand(aVm);
}

// As in node::control: a holder from an earlier era claims the failover lock
// again, and if nobody holds it, one of the VMs claims it.
void
era_model::TryToClaim(std::size_t aVm)
{
  auto& one = *mVms[aVm];
  const auto now = mTime.Now();
  if (one.isClaiming || now < one.nextClaim || !one.registration.IsListed()) {
    return;
  }
  node::vm_record self;
  self.where.vm = Name(aVm);
  self.incarnation = one.incarnation;
  const auto keys = node::ReadClusterState(one.own.Items());
  const auto found = keys.locks.find(kGroup);
  const bool isStaleHolder =
    found != keys.locks.end() && found->second.record.holder == Name(aVm) &&
    found->second.record.incarnation == one.incarnation &&
    !node::IsFromEra(found->second.record, one.own.Seen().era);
  if (!isStaleHolder && node::IsLockHeld(keys, kGroup)) {
    return;
  }
  one.isClaiming = true;
  one.nextClaim = now + 300ms;
  auto claim = node::MakeLockClaim(keys, kGroup, self, one.own.Seen(), {});
  if (mBug == seeded_bug::kEpochFromRevision) {
    auto made = *node::ParseFailoverLock(claim.puts.front());
    made.epoch = std::max<std::uint64_t>(
      one.own.Seen().number,
      found == keys.locks.end() ? 0 : found->second.record.epoch + 1);
    claim.puts.front().value = node::SerializeFailoverLock(made);
  }
  one.guard.Commit(std::move(claim),
                   [&one](store::commit_outcome,
                          store::revision,
                          store::response_info) { one.isClaiming = false; });
}

// The failover lock is read before each command.
void
era_model::TryToCommand(std::size_t aVm)
{
  auto& one = *mVms[aVm];
  if (!Chance(10)) {
    return;
  }
  const auto sentAt = mTime.Now();
  one.guard.Get(node::FailoverLockKey(kGroup),
                [this, &one, sentAt](std::error_code aError,
                                     std::optional<store::item> aItem,
                                     store::response_info) {
                  const auto lock =
                    aItem ? node::ParseFailoverLock(*aItem) : std::nullopt;
                  const bool isHeld = !aError && lock &&
                                      lock->holder == Name(one.number) &&
                                      lock->incarnation == one.incarnation &&
                                      mTime.Now() < sentAt + kCommandValidity;
                  const bool isFromEra =
                    isHeld && (mBug == seeded_bug::kEpochFromRevision ||
                               node::IsFromEra(*lock, aItem->changed.era));
                  if (isFromEra) {
                    CheckCommand({ one.number, lock->epoch, sentAt });
                  }
                });
}

// A fencing token identifies one holder, and a holder that has read the lock
// later has no lower token.
void
era_model::CheckCommand(const command& aCommand)
{
  ++commands;
  for (const auto& before : mCommands) {
    if (before.holder == aCommand.holder) {
      continue;
    }
    if (before.epoch == aCommand.epoch) {
      ReportViolation("two holders have the same fencing token");
    }
    const bool isLater = aCommand.readAt > before.readAt + 2 * kCommandValidity;
    if (isLater && aCommand.epoch < before.epoch) {
      ReportViolation("a later command has a lower fencing token");
    }
  }
  mCommands.push_back(aCommand);
}

// A VM that knows the current era does not touch the leases of others.
void
era_model::CheckLeaseOwner(std::size_t aVm,
                           std::uint64_t aLease,
                           store::era_id aKnown)
{
  const bool isOther = mStore.owners[aLease] != aVm;
  const bool couldKnow = aKnown == mEra || mBug == seeded_bug::kEraIgnored;
  if (isOther && couldKnow) {
    ReportViolation("a lease of another VM was renewed or used for a write");
  }
}

// The newest version that had been acknowledged by then.
std::uint64_t
era_model::VersionAcknowledgedBy(clock::time_point aAt) const
{
  std::uint64_t version = 0;
  for (const auto& one : mAcknowledged) {
    version = one.at <= aAt ? one.version : version;
  }
  return version;
}

void
era_model::CheckVersions(std::size_t aVm)
{
  const auto& one = *mVms[aVm];
  const auto now = mTime.Now();
  const auto stableFrom = std::max(mStableSince, one.stableSince);
  // Calls may also be lost, which is detected after their timeout.
  const auto bound = kApplyBound + kCallTime;
  if (one.isDisconnected || now < mDownUntil || now < stableFrom + bound) {
    return;
  }
  if (one.version < VersionAcknowledgedBy(now - bound)) {
    ReportViolation("an acknowledged configuration is not applied");
  }
}

// No newer version had been acknowledged at the time as of which a VM's
// configuration is verified. VMs that have started since the restore are
// exempt, since they cannot know of it.
void
era_model::CheckVerification(std::size_t aVm)
{
  auto& one = *mVms[aVm];
  const auto& items = one.configuration.Items();
  const auto found = items.find(kConfiguration);
  const bool isInForce =
    found != items.end() && std::stoull(found->second.value) == one.version;
  if (isInForce && mBug != seeded_bug::kVerificationCarriedOver) {
    one.verifiedAt = std::max(one.verifiedAt, one.configuration.VerifiedAt());
  }
  const bool startedSince = one.stableSince + 500ms >= mStableSince - 4s;
  if (!startedSince &&
      one.version < VersionAcknowledgedBy(one.verifiedAt - 1ms)) {
    ReportViolation(
      "a configuration was verified although a newer one had been "
      "acknowledged");
  }
}

} // namespace currantshed::test

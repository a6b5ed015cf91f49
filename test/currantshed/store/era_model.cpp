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
constexpr auto kStep = 10ms;
constexpr const char* kConfiguration = "op/config";
constexpr const char* kGroup = "group";
// Time within which an acknowledged configuration must be applied in the
// absence of faults.
constexpr auto kInForce = 3000ms;
constexpr auto kCopyInterval = 200ms;
constexpr auto kCopiesReach = 6000ms;
// Time after which the operator writes lost changes again.
constexpr auto kWrittenAgain = 1500ms;
constexpr auto kLeaseTime = 2000ms;
constexpr auto kCallTime = 1000ms;
// Maximum time between an order and the read that permits it.
constexpr auto kOrderLife = 300ms;

std::string
Name(std::size_t aVm)
{
  return "vm-" + std::to_string(aVm);
}

} // namespace

/// A VM: the real components, connected as in node::control.
struct era_model::modelled_vm
{
  modelled_vm(era_model& aModel, std::size_t aNumber, std::uint64_t aLife);

  // Callbacks of a VM that has stopped are ignored.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  std::size_t number;
  std::uint64_t life;
  bool isCut = false;
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
  clock::time_point provedAt{};
  clock::time_point calmSince;
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
        return [this, aDone] { aDone(store::errc::kTimeout, {}, None()); };
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
          read = Stamped(*read, era);
        }
        aDone({}, read, Reply(era));
      };
    });
  }

  void Range(std::string aPrefix, range_callback aDone) override
  {
    Call([this, aPrefix, aDone](bool aIsLost) -> std::function<void()> {
      if (aIsLost) {
        return [this, aDone] { aDone(store::errc::kTimeout, {}, {}, None()); };
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
          one = Stamped(one, era);
        }
        aDone({}, read, { EraOf(era), number }, Reply(era));
      };
    });
  }

  void Watch(std::string aPrefix,
             store::revision aAfter,
             std::chrono::milliseconds aMaxWait,
             watch_callback aDone) override
  {
    mWatches[aPrefix] = Follow(aPrefix, aAfter, aMaxWait, aDone);
  }

  void ChangesSince(std::string aPrefix,
                    store::revision aAfter,
                    watch_callback aDone) override
  {
    (void)Follow(aPrefix, aAfter, 1ms, aDone);
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
        return
          [this, aDone] { aDone(store::commit_outcome::kUnknown, {}, None()); };
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
        return [this, aDone] { aDone(store::errc::kTimeout, {}, None()); };
      }
      auto& kept = mModel.mStore;
      kept.leases[++kept.lastLease] = mModel.mTime.Now() + kLeaseTime;
      kept.owners[kept.lastLease] = mVm;
      const auto era = mModel.mEra;
      return [this, aDone, era, lease = kept.lastLease] {
        aDone({}, { EraOf(era), lease }, Reply(era));
      };
    });
  }

  void KeepAlive(store::lease_id aLease, keep_alive_callback aDone) override
  {
    const auto known = Known();
    Call([this, aLease, aDone, known](bool aIsLost) -> std::function<void()> {
      if (aIsLost) {
        return [this, aDone] { aDone(store::errc::kTimeout, None()); };
      }
      const auto found = mModel.mStore.leases.find(aLease.number);
      const bool lives = found != mModel.mStore.leases.end();
      if (lives) {
        mModel.Touched(mVm, aLease.number, known);
        found->second = mModel.mTime.Now() + kLeaseTime;
      }
      const auto era = mModel.mEra;
      return [this, aDone, era, lives] {
        aDone(lives ? std::error_code{}
                    : make_error_code(store::errc::kLeaseNotFound),
              Reply(era));
      };
    });
  }

  void Revoke(store::lease_id) override {}

private:
  [[nodiscard]] store::response_info None() const
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
    switch (mModel.mMistake) {
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

  [[nodiscard]] store::item Stamped(store::item aItem,
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
    const bool isCut = mModel.mVms[mVm] != nullptr && mModel.mVms[mVm]->isCut;
    if (isCut || mModel.Chance(10)) {
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
      if (mModel.mTime.Now() >= mModel.mAwayUntil) {
        run();
      } else if (mModel.Chance(500)) {
        mModel.mHeld.push_back(run);
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
      end([&] { aDone(store::errc::kTimeout, {}, {}, None()); });
    };
    const auto until = mModel.mTime.Now() + aMaxWait;
    // Responds if there are changes or the wait time is over.
    const auto tryOnce =
      [this, ended, end, alive = mAlive, aPrefix, aAfter, aDone, until](
        bool aIsCut) {
        if (*ended || aIsCut || !*alive) {
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
              auto told = changes;
              for (auto& one : told) {
                one.now = Stamped(one.now, era);
              }
              aDone({}, told, { EraOf(era), number }, Reply(era));
            });
          });
        return true;
      };
    mModel.mTime.After(aMaxWait + 2 * kCallTime, fail);
    const bool isCut = mModel.mVms[mVm]->isCut;
    if (!isCut) {
      mModel.mTime.After(mModel.Delay(), [&model = mModel, tryOnce] {
        model.mWaiting.push_back(tryOnce);
      });
    }
    return [this, fail] { mModel.mTime.After(1ms, fail); };
  }

  store::commit_outcome Do(const store::transaction& aWhat,
                           store::era_id aKnown)
  {
    auto& kept = mModel.mStore;
    for (const auto& one : aWhat.conditions) {
      const auto found = kept.items.find(one.key);
      const auto now =
        found == kept.items.end() ? 0 : found->second.changed.number;
      if (now != one.changed.number) {
        return store::commit_outcome::kConflict;
      }
    }
    for (const auto& one : aWhat.puts) {
      const auto lease = one.lease.number;
      if (lease != 0 && !kept.leases.contains(lease)) {
        return store::commit_outcome::kLeaseNotFound;
      }
      if (lease != 0) {
        mModel.Touched(mVm, lease, aKnown);
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
                                    std::uint64_t aLife)
  : number(aNumber)
  , life(aLife)
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
  , calmSince(aModel.mTime.Now())
{
  node::vm_record record;
  record.where = { Name(aNumber), "10.0.0.1", 7440 };
  record.failureDomain = "here";
  record.incarnation = aLife;
  registration.SetValue(node::SerializeVm(record));
}

era_model::era_model(std::uint32_t aSeed, seeded_bug aMistake)
  : mRandom(aSeed)
  , mMistake(aMistake)
  , mNextVersion(mTime.Now() + 2s)
  , mCalmSince(mTime.Now())
{
  Configure();
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
era_model::Fault(const std::string& aWhat)
{
  const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
    mTime.Now().time_since_epoch() - 1h);
  wrong.push_back(std::to_string(at.count()) + " ms: " + aWhat);
}

void
era_model::Run(std::chrono::seconds aSpan)
{
  const auto end = mTime.Now() + aSpan;
  while (mTime.Now() < end && wrong.empty()) {
    mTime.RunUntil(mTime.Now() + kStep);
    Step();
  }
}

void
era_model::Step()
{
  Trouble();
  const auto now = mTime.Now();
  if (now >= mAwayUntil) {
    for (const auto& call : std::exchange(mHeld, {})) {
      call();
    }
    Expire();
    if (now >= mNextVersion) {
      mNextVersion = now + std::chrono::milliseconds{ 300 + mRandom() % 7000 };
      Configure();
    }
    AnswerWaiting();
    if (mCopies.empty() || now >= mCopies.back().at + kCopyInterval) {
      mCopies.push_back({ now, mStore });
    }
    while (mCopies.front().at < now - kCopiesReach) {
      mCopies.pop_front();
    }
  }
  for (std::size_t i = 0; i < kVms; ++i) {
    ++steps;
    Work(i);
    CheckVersions(i);
    CheckEvidence(i);
  }
}

void
era_model::Trouble()
{
  const auto now = mTime.Now();
  if (now >= mAwayUntil && Chance(2)) {
    Lose();
  }
  for (std::size_t i = 0; i < kVms; ++i) {
    auto& one = *mVms[i];
    if (Chance(1) && Chance(500)) {
      one.isCut = !one.isCut;
      one.calmSince = now;
    }
    if (one.isCut) {
      one.calmSince = now;
      one.isCut = !Chance(5);
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
era_model::Lose()
{
  ++returns;
  const auto now = mTime.Now();
  const auto away = std::chrono::milliseconds{ mRandom() % 2000 };
  const auto back = now - std::chrono::milliseconds{ mRandom() % 4000 };
  mAwayUntil = now + away;
  mCalmSince = mAwayUntil + kWrittenAgain + 500ms;
  mTime.At(mAwayUntil, [this, back] { RestoreSnapshot(back); });
}

void
era_model::RestoreSnapshot(clock::time_point aTo)
{
  while (mCopies.size() > 1 && mCopies.back().at > aTo) {
    mCopies.pop_back();
  }
  if (!mCopies.empty()) {
    mStore = mCopies.back().kept;
  }
  for (auto& [lease, until] : mStore.leases) {
    until = std::max(until, mTime.Now() + kLeaseTime);
  }
  ++mEra;
  // Pending watches continue to wait, or fail.
  const bool areCut = Chance(500);
  std::erase_if(mWaiting,
                [areCut](const auto& aOne) { return areCut && aOne(true); });
  const auto era = mEra;
  mTime.After(kWrittenAgain, [this, era] {
    const bool isLast = era == mEra && mTime.Now() >= mAwayUntil;
    if (isLast) {
      Put(kConfiguration, std::to_string(mWritten.back().version), 0);
    }
  });
}

void
era_model::Configure()
{
  const auto version = mWritten.empty() ? 1 : mWritten.back().version + 1;
  Put(kConfiguration, std::to_string(version), 0);
  mWritten.push_back({ version, mTime.Now() });
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
era_model::AnswerWaiting()
{
  auto waiting = std::exchange(mWaiting, {});
  for (const auto& one : waiting) {
    if (!one(false)) {
      mWaiting.push_back(one);
    }
  }
}

void
era_model::Restart(std::size_t aVm)
{
  const auto life = mVms[aVm]->life + kVms;
  *mVms[aVm]->alive = false;
  mVms[aVm] = std::make_unique<modelled_vm>(*this, aVm, life);
}

void
era_model::Work(std::size_t aVm)
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
      now, [&one, now, this](bool aIsProof, clock::time_point) {
        one.isChecking = false;
        if (aIsProof && mMistake == seeded_bug::kVerificationCarriedOver) {
          one.provedAt = now;
        }
      });
  }
  TryToClaim(aVm);
  TryToOrder(aVm);
}

// As in node::control: a holder from an earlier era claims the duty again, and
// a duty without holder is claimed by one of the VMs.
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
  self.incarnation = one.life;
  const auto keys = node::ReadClusterState(one.own.Items());
  const auto found = keys.locks.find(kGroup);
  const bool isPast =
    found != keys.locks.end() && found->second.record.holder == Name(aVm) &&
    found->second.record.incarnation == one.life &&
    !node::IsFromEra(found->second.record, one.own.Seen().era);
  if (!isPast && node::IsLockHeld(keys, kGroup)) {
    return;
  }
  one.isClaiming = true;
  one.nextClaim = now + 300ms;
  auto claim = node::MakeLockClaim(keys, kGroup, self, one.own.Seen(), 0);
  if (mMistake == seeded_bug::kEpochFromRevision) {
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

// The duty's record is read before each order.
void
era_model::TryToOrder(std::size_t aVm)
{
  auto& one = *mVms[aVm];
  if (!Chance(10)) {
    return;
  }
  const auto asked = mTime.Now();
  one.guard.Get(node::FailoverLockKey(kGroup),
                [this, &one, asked](std::error_code aError,
                                    std::optional<store::item> aItem,
                                    store::response_info) {
                  const auto duty =
                    aItem ? node::ParseFailoverLock(*aItem) : std::nullopt;
                  const bool isHeld = !aError && duty &&
                                      duty->holder == Name(one.number) &&
                                      duty->incarnation == one.life &&
                                      mTime.Now() < asked + kOrderLife;
                  const bool isOfEra =
                    isHeld && (mMistake == seeded_bug::kEpochFromRevision ||
                               node::IsFromEra(*duty, aItem->changed.era));
                  if (isOfEra) {
                    Ordered({ one.number, duty->epoch, asked });
                  }
                });
}

// An epoch identifies one holder, and a holder that has read the record later
// has no lower epoch.
void
era_model::Ordered(const order& aOrder)
{
  ++orders;
  for (const auto& before : mOrders) {
    if (before.holder == aOrder.holder) {
      continue;
    }
    if (before.epoch == aOrder.epoch) {
      Fault("two holders have the same epoch");
    }
    const bool isLater = aOrder.readAt > before.readAt + 2 * kOrderLife;
    if (isLater && aOrder.epoch < before.epoch) {
      Fault("a later order has a lower epoch");
    }
  }
  mOrders.push_back(aOrder);
}

// A VM that knows the current era does not touch the leases of others.
void
era_model::Touched(std::size_t aVm, std::uint64_t aLease, store::era_id aKnown)
{
  const bool isOther = mStore.owners[aLease] != aVm;
  const bool couldKnow = aKnown == mEra || mMistake == seeded_bug::kEraIgnored;
  if (isOther && couldKnow) {
    Fault("a lease of another VM was renewed or used for a write");
  }
}

// The newest version that had been acknowledged by then.
std::uint64_t
era_model::WrittenBy(clock::time_point aAt) const
{
  std::uint64_t version = 0;
  for (const auto& one : mWritten) {
    version = one.at <= aAt ? one.version : version;
  }
  return version;
}

void
era_model::CheckVersions(std::size_t aVm)
{
  const auto& one = *mVms[aVm];
  const auto now = mTime.Now();
  const auto calm = std::max(mCalmSince, one.calmSince);
  // Calls may also be lost, which is detected after their timeout.
  const auto bound = kInForce + kCallTime;
  if (one.isCut || now < mAwayUntil || now < calm + bound) {
    return;
  }
  if (one.version < WrittenBy(now - bound)) {
    Fault("an acknowledged configuration is not applied");
  }
}

// No newer version had been acknowledged at the time as of which a VM's
// configuration is verified. VMs that have started since the restore are
// exempt, since they cannot know of it.
void
era_model::CheckEvidence(std::size_t aVm)
{
  auto& one = *mVms[aVm];
  const auto& items = one.configuration.Items();
  const auto found = items.find(kConfiguration);
  const bool isInForce =
    found != items.end() && std::stoull(found->second.value) == one.version;
  if (isInForce && mMistake != seeded_bug::kVerificationCarriedOver) {
    one.provedAt = std::max(one.provedAt, one.configuration.VerifiedAt());
  }
  const bool startedSince = one.calmSince + 500ms >= mCalmSince - 4s;
  if (!startedSince && one.version < WrittenBy(one.provedAt - 1ms)) {
    Fault("a configuration was verified although a newer one had been "
          "acknowledged");
  }
}

} // namespace currantshed::test

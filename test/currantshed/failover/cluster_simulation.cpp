#include "currantshed/failover/cluster_simulation.hpp"

namespace currantshed::failover::test {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{ 150 };
constexpr milliseconds kHeartbeatInterval{ 100 };
constexpr milliseconds kReplicateInterval{ 5 };
constexpr milliseconds kWriteInterval{ 20 };
constexpr milliseconds kValidity{ 200 };

clock::time_point
From(milliseconds aTime)
{
  return clock::time_point{} + aTime;
}

} // namespace

cluster_simulation::cluster_simulation(const simulation_settings& aSettings)
  : mSettings(aSettings)
  , mGenerator(aSettings.seed)
  , mServers(aSettings.servers)
{
  mGroup.name = "claimsbook-1";
  unsigned number = 0;
  for (const auto& [id, server] : mServers.All()) {
    group::member member;
    member.id = id;
    member.failureDomain = "d" + std::to_string(number++ % 3);
    mGroup.members.push_back(member);
  }
  for (unsigned pooler = 0; pooler < aSettings.poolers; ++pooler) {
    auto& made = mPoolers.emplace_back();
    made.name = "p" + std::to_string(pooler);
    made.core = MakeCoordinator(SettingsOf(pooler));
  }
  for (std::size_t pooler = 0; pooler < mPoolers.size(); ++pooler) {
    const unsigned rank = SettingsOf(static_cast<unsigned>(pooler)).rank;
    Push(mNow + Delay(), [this, pooler, rank] {
      Deliver(pooler, [this, rank](coordinator& aCore) {
        aCore.Configure(mGroup, rank, mSettings.poolers, mNow);
      });
    });
    Push(mNow + Delay(), [this, pooler] { SendHeartbeat(pooler); });
  }
  Push(mNow, [this] { Write(); });
}

void
cluster_simulation::At(milliseconds aTime, std::function<void()> aWhat)
{
  Push(From(aTime), std::move(aWhat));
}

void
cluster_simulation::Run(milliseconds aUntil)
{
  while (!mEvents.empty() && mEvents.begin()->first.first <= From(aUntil)) {
    auto event = mEvents.extract(mEvents.begin());
    mNow = event.key().first;
    event.mapped()();
  }
  mNow = From(aUntil);
}

void
cluster_simulation::KillPooler(unsigned aPooler)
{
  mPoolers.at(aPooler).alive = false;
}

void
cluster_simulation::PausePooler(unsigned aPooler, milliseconds aFor)
{
  mPoolers.at(aPooler).pausedUntil = mNow + aFor;
}

void
cluster_simulation::Isolate(const std::string& aName, bool aCut)
{
  std::vector<std::string> others;
  for (const auto& [id, server] : mServers.All()) {
    others.push_back(id);
  }
  for (const auto& other : mPoolers) {
    others.push_back(other.name);
  }
  for (const auto& other : others) {
    if (aCut && other != aName) {
      mServers.Cut(aName, other);
    } else {
      mServers.Heal(aName, other);
    }
  }
}

void
cluster_simulation::SetLeaving(const upstream::server_id& aServer)
{
  for (auto& member : mGroup.members) {
    member.leaving = member.leaving || member.id == aServer;
  }
  for (std::size_t pooler = 0; pooler < mPoolers.size(); ++pooler) {
    const unsigned rank = SettingsOf(static_cast<unsigned>(pooler)).rank;
    Deliver(pooler, [this, rank](coordinator& aCore) {
      aCore.Configure(mGroup, rank, mSettings.poolers, mNow);
    });
  }
}

void
cluster_simulation::CheckSettled()
{
  const fake_server* primary = nullptr;
  for (const auto& [id, server] : mServers.All()) {
    if (server.alive && server.role == upstream::server_role::kPrimary) {
      if (primary != nullptr) {
        mViolations.emplace_back("two primaries at the end");
      }
      primary = &server;
    }
  }
  if (primary == nullptr) {
    mViolations.emplace_back("no primary at the end");
    return;
  }
  for (const auto& [id, server] : mServers.All()) {
    if (server.alive && server.term != primary->term) {
      mViolations.push_back(id + " is in another term at the end");
    }
    if (server.alive && server.role == upstream::server_role::kFenced) {
      mViolations.push_back(id + " is fenced at the end");
    }
  }
  std::set<std::uint64_t> kept;
  for (const auto& record : primary->log) {
    kept.insert(record.change);
  }
  for (const auto& change : mConfirmed) {
    if (!kept.contains(change.record.change)) {
      mViolations.push_back("confirmed change " +
                            std::to_string(change.record.change) + " is lost");
    }
  }
}

std::optional<milliseconds>
cluster_simulation::ConfirmedAfter(milliseconds aTime) const
{
  for (const auto& change : mConfirmed) {
    if (change.at > From(aTime)) {
      return std::chrono::duration_cast<milliseconds>(
        change.at.time_since_epoch());
    }
  }
  return std::nullopt;
}

void
cluster_simulation::Push(clock::time_point aTime, std::function<void()> aWhat)
{
  mEvents.emplace(std::pair{ aTime, mNumber++ }, std::move(aWhat));
}

void
cluster_simulation::Deliver(std::size_t aPooler,
                            const std::function<void(coordinator&)>& aWhat)
{
  auto& pooler = mPoolers.at(aPooler);
  if (!pooler.alive) {
    return;
  }
  if (pooler.pausedUntil > mNow) {
    Push(pooler.pausedUntil,
         [this, aPooler, aWhat] { Deliver(aPooler, aWhat); });
    return;
  }
  aWhat(*pooler.core);
  Drain(aPooler);
}

void
cluster_simulation::Drain(std::size_t aPooler)
{
  auto& pooler = mPoolers.at(aPooler);
  for (const auto& wanted : pooler.core->TakeActions()) {
    Do(aPooler, wanted);
  }
  const auto number = ++pooler.tickNumber;
  const auto due = std::max(pooler.core->NextTick(), mNow);
  if (due == clock::time_point::max()) {
    return;
  }
  Push(due, [this, aPooler, number] {
    if (mPoolers.at(aPooler).tickNumber == number) {
      Deliver(aPooler, [this](coordinator& aCore) { aCore.Tick(mNow); });
    }
  });
}

void
cluster_simulation::Do(std::size_t aPooler, const action& aAction)
{
  auto& self = mPoolers.at(aPooler);
  if (const auto* probeAction = std::get_if<probe>(&aAction)) {
    const auto askedAt = mNow;
    Call(
      aPooler,
      probeAction->server,
      [this](fake_server& aServer) {
        return std::pair{ true, aServer.Status(mNow) };
      },
      [this, id = probeAction->server, askedAt](
        coordinator& aCore, bool aGood, const auto& aStatus) {
        if (aGood) {
          aCore.StatusArrived(id, aStatus, askedAt, mNow);
        } else {
          aCore.StatusFailed(id, mNow);
        }
      });
  } else if (const auto* fenceAction = std::get_if<fence>(&aAction)) {
    Call(
      aPooler,
      fenceAction->server,
      [this, term = fenceAction->term](fake_server& aServer) {
        const bool accepted = aServer.Fence(term);
        return std::pair{ accepted, aServer.Status(mNow) };
      },
      [this, what = *fenceAction](
        coordinator& aCore, bool aGood, const auto& aStatus) {
        aCore.FenceAnswered(what.server, what.term, aGood, aStatus, mNow);
      });
  } else if (const auto* promoteAction = std::get_if<promote>(&aAction)) {
    DoPromote(aPooler, *promoteAction);
  } else if (const auto* followAction = std::get_if<follow>(&aAction)) {
    Call(
      aPooler,
      followAction->server,
      [this, what = *followAction](fake_server& aServer) {
        const bool accepted = aServer.Follow(what.term, what.primary, mNow);
        return std::pair{ accepted, aServer.Status(mNow) };
      },
      [this, what = *followAction](
        coordinator& aCore, bool aGood, const auto& aStatus) {
        aCore.FollowAnswered(what.server, what.term, aGood, aStatus, mNow);
      });
  } else if (std::holds_alternative<read_record>(aAction)) {
    DoRead(aPooler);
  } else if (const auto* swap = std::get_if<swap_record>(&aAction)) {
    DoSwap(aPooler, *swap);
  } else if (const auto* announced = std::get_if<announce>(&aAction)) {
    self.announced = *announced;
  } else if (const auto* report = std::get_if<report_suspicion>(&aAction)) {
    self.report = report->report;
  }
}

void
cluster_simulation::Call(std::size_t aPooler,
                         const upstream::server_id& aServer,
                         const server_call& aCall,
                         const server_answer& aAnswer)
{
  const auto connected = [this, aPooler, aServer] {
    return mServers.At(aServer).alive &&
           mServers.IsConnected(mPoolers.at(aPooler).name, aServer) && !Lost();
  };
  const auto fail = [this, aPooler, aAnswer] {
    Push(mNow + kCallTimeout, [this, aPooler, aAnswer] {
      Deliver(aPooler,
              [aAnswer](coordinator& aCore) { aAnswer(aCore, false, {}); });
    });
  };
  Push(mNow + Delay(),
       [this, aPooler, aServer, aCall, aAnswer, connected, fail] {
         if (!connected()) {
           fail();
           return;
         }
         const auto [accepted, status] = aCall(mServers.At(aServer));
         Repeat(aServer, aCall);
         if (!connected()) {
           fail();
           return;
         }
         Push(mNow + Delay(),
              [this, aPooler, aAnswer, good = accepted, seen = status] {
                Deliver(aPooler, [aAnswer, good, seen](coordinator& aCore) {
                  aAnswer(aCore, good, seen);
                });
              });
       });
}

void
cluster_simulation::Repeat(const upstream::server_id& aServer,
                           const server_call& aCall)
{
  constexpr unsigned kMille = 1000;
  constexpr unsigned kMaxRepeatDelay = 3000;
  if (mGenerator() % kMille >= mSettings.repeatPerMille) {
    return;
  }
  const milliseconds later{ mGenerator() % kMaxRepeatDelay };
  Push(mNow + later, [this, aServer, aCall] {
    if (mServers.At(aServer).alive) {
      static_cast<void>(aCall(mServers.At(aServer)));
    }
  });
}

void
cluster_simulation::DoPromote(std::size_t aPooler, const promote& aWhat)
{
  if (++mPromoteSent[aWhat.term] > 1) {
    mViolations.push_back("term " + std::to_string(aWhat.term) +
                          " is promoted twice");
  }
  Call(
    aPooler,
    aWhat.server,
    [this, aWhat](fake_server& aServer) {
      const bool accepted = aServer.Promote(aWhat.term);
      if (accepted) {
        RecordPromotion(aWhat);
      }
      return std::pair{ accepted, aServer.Status(mNow) };
    },
    [this, aWhat](coordinator& aCore, bool aGood, const auto& aStatus) {
      aCore.PromoteAnswered(aWhat.server, aWhat.term, aGood, aStatus, mNow);
    });
}

void
cluster_simulation::RecordPromotion(const promote& aWhat)
{
  if (!mPromoted.emplace(aWhat.term, aWhat.server).second) {
    mViolations.push_back("two primaries in term " +
                          std::to_string(aWhat.term));
  }
  for (const auto& change : mConfirmed) {
    if (change.record.term < aWhat.term && mNow - change.at < kValidity) {
      mViolations.push_back("term " + std::to_string(aWhat.term) +
                            " began while an older acknowledgement is valid");
      return;
    }
  }
}

void
cluster_simulation::DoRead(std::size_t aPooler)
{
  Push(mNow + Delay(), [this, aPooler] {
    const bool reached = !mStore.down;
    const auto content = reached ? mStore.content : store::entry{};
    Push(mNow + Delay(), [this, aPooler, reached, content] {
      Deliver(aPooler, [this, reached, content](coordinator& aCore) {
        aCore.RecordRead(reached, content, mNow);
      });
    });
  });
}

void
cluster_simulation::DoSwap(std::size_t aPooler, const swap_record& aWhat)
{
  Push(mNow + Delay(), [this, aPooler, aWhat] {
    auto outcome = store::swap_outcome::kUnknown;
    if (!mStore.down) {
      const bool applied = mStore.Swap(aWhat.value, aWhat.expected);
      outcome = applied ? store::swap_outcome::kApplied
                        : store::swap_outcome::kConflict;
    }
    if (mStore.losesAnswers) {
      outcome = store::swap_outcome::kUnknown;
    }
    Push(mNow + Delay(), [this, aPooler, outcome] {
      Deliver(aPooler, [this, outcome](coordinator& aCore) {
        aCore.RecordSwapped(outcome, mNow);
      });
    });
  });
}

void
cluster_simulation::SendHeartbeat(std::size_t aPooler)
{
  Push(mNow + kHeartbeatInterval, [this, aPooler] { SendHeartbeat(aPooler); });
  const auto& self = mPoolers.at(aPooler);
  if (!self.alive || self.pausedUntil > mNow) {
    return;
  }
  for (std::size_t peer = 0; peer < mPoolers.size(); ++peer) {
    const bool connected =
      mServers.IsConnected(self.name, mPoolers.at(peer).name);
    if (peer == aPooler || !connected || Lost()) {
      continue;
    }
    Push(mNow + Delay(),
         [this,
          peer,
          from = self.name,
          domain = "d" + std::to_string(aPooler % 3),
          report = self.report,
          announced = self.announced] {
           Deliver(peer, [=, this](coordinator& aCore) {
             aCore.PeerSuspects(from, domain, report, mNow);
             if (announced.term > 0) {
               aCore.PeerAnnounces(announced.term, announced.primary, mNow);
             }
           });
         });
  }
}

// Replicates, and on every other call writes and confirms at each pooler.
void
cluster_simulation::Write()
{
  Push(mNow + kReplicateInterval, [this] { Write(); });
  mServers.Replicate(mNow);
  const auto majority = mServers.All().size() / 2 + 1;
  for (const auto& record : mWaiting) {
    const bool confirmed =
      std::any_of(mPoolers.begin(), mPoolers.end(), [&](const auto& aPooler) {
        return aPooler.alive &&
               mServers.CountHolders(aPooler.name, record) >= majority;
      });
    if (confirmed) {
      mConfirmed.push_back({ record, mNow });
    }
  }
  if ((mNow.time_since_epoch() / kReplicateInterval) %
        (kWriteInterval / kReplicateInterval) !=
      0) {
    return;
  }
  mWaiting.clear();
  for (auto& [id, server] : mServers.All()) {
    if (server.alive && !IsLeaving(id) && server.Write(mChange + 1)) {
      ++mChange;
      mWaiting.push_back(server.log.back());
    }
  }
}

// Engines send no changes to a server that is marked as leaving.
bool
cluster_simulation::IsLeaving(const upstream::server_id& aServer) const
{
  return std::any_of(
    mGroup.members.begin(), mGroup.members.end(), [&](const auto& aMember) {
      return aMember.leaving && aMember.id == aServer;
    });
}

bool
cluster_simulation::Lost()
{
  constexpr unsigned kMille = 1000;
  return mGenerator() % kMille < mSettings.lossPerMille;
}

clock::duration
cluster_simulation::Delay()
{
  constexpr unsigned kDelaySpread = 2500;
  return microseconds{ 500 + static_cast<int>(mGenerator() % kDelaySpread) };
}

coordinator_settings
cluster_simulation::SettingsOf(unsigned aPooler) const
{
  coordinator_settings settings;
  settings.vm = "p" + std::to_string(aPooler);
  settings.incarnation = settings.vm + "-1";
  settings.failureDomain = "d" + std::to_string(aPooler % 3);
  settings.rank = mSettings.sameRank ? 0 : aPooler;
  settings.owners = mSettings.poolers;
  return settings;
}

} // namespace currantshed::failover::test

#include "test/matrix/gateway_node.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "currantshed/session/key_ring.hpp"
#include "test/matrix/steps.hpp"

namespace currantshed::matrix {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kViewInterval{ 100 };
constexpr milliseconds kDrainCheck{ 10 };
constexpr milliseconds kDuplicateDelay{ 20 };
constexpr milliseconds kDeadline{ 1500 };
constexpr milliseconds kLookupBound{ 300 };
constexpr milliseconds kCatalogueBound{ 150 };

session::key_ring
Keys()
{
  session::key_ring keys;
  (void)keys.Parse("a:000102030405060708090a0b0c0d0e0f");
  return keys;
}

policy::work_class
Class(const char* aName,
      policy::access aKind,
      bool aRepeatable,
      milliseconds aBound)
{
  policy::work_class made;
  made.name = aName;
  made.kind = aKind;
  made.repeatable = aRepeatable;
  made.maxStaleness = aBound;
  made.servedIn = { "d1", "d2", "d3" };
  made.deadline = kDeadline;
  return made;
}

} // namespace

std::vector<policy::work_class>
Classes()
{
  using policy::access;
  constexpr milliseconds kFresh{ 0 };
  return { Class("report", access::kWrite, false, kFresh),
           Class("draft", access::kWrite, true, kFresh),
           Class("counter", access::kRead, true, kFresh),
           Class("lookup", access::kRead, true, kLookupBound),
           Class("catalogue", access::kRead, true, kCatalogueBound) };
}

gateway_node::gateway_node(surroundings& aAround, std::string aName)
  : process(aAround.time, aAround.faults, std::move(aName))
  , mAround(aAround)
{
}

void
gateway_node::SetPoolers(pooler_node* aOwn, std::vector<pooler_node*> aAll)
{
  mOwn = aOwn;
  mPoolers = std::move(aAll);
}

void
gateway_node::SetView(const gateway::fleet_view& aView)
{
  mView = aView;
  if (Alive()) {
    Bind([this, aView] { mEngine->ViewChanged(aView, mAround.time.Now()); })();
  }
}

void
gateway_node::Submit(gateway::caller_request aRequest, answered aAnswered)
{
  const auto number = ++mLastNumber;
  aRequest.number = number;
  constexpr unsigned kSpareKeys = 5;
  aRequest.generatedKey = outcome::idempotency_key::Make(
    mAround.time.WallNow(), kSpareKeys, mAround.chance());
  mAround.time.In(mAround.Transit(),
                  Bind([this,
                        number,
                        request = std::move(aRequest),
                        done = std::move(aAnswered)] {
                    mWaiting[number] = { done, !mStopping };
                    mEngine->Submit(request, mAround.time.Now());
                  }));
}

void
gateway_node::PoolerDied(const std::string& aVm)
{
  if (Alive()) {
    mAround.time.In(mAround.Transit(), Bind([this, aVm] {
                      mEngine->PoolerLost(aVm, mAround.time.Now());
                    }));
  }
}

void
gateway_node::Stop()
{
  if (!Alive() || mStopping) {
    return;
  }
  mStopping = true;
  mEngine->Drain();
  WaitForEnd();
}

void
gateway_node::WaitForEnd()
{
  const bool atOnce = mAround.rules.Broken(seeded_bug::kStopsAtOnce);
  if ((mEngine->Pending() > 0 || Busy()) && !atOnce) {
    mAround.time.In(kDrainCheck, Bind([this] { WaitForEnd(); }));
    return;
  }
  const auto cutOff =
    std::count_if(mWaiting.begin(), mWaiting.end(), [](const auto& aEntry) {
      return aEntry.second.early;
    });
  mAround.seen.stops.push_back({ VmName(), static_cast<unsigned>(cutOff) });
  Kill();
}

void
gateway_node::CreateEngines()
{
  mStopping = false;
  mVersion = 0;
  gateway::engine_settings settings;
  settings.seed = mAround.chance();
  mAround.rules.Settle(settings);
  mEngine = gateway::MakeEngine(settings, Keys());
  mEngine->ViewChanged(mView, mAround.time.Now());
  AskForConfiguration();
}

void
gateway_node::Ended()
{
  mEngine.reset();
  mWaiting.clear();
}

void
gateway_node::Collect()
{
  if (!Alive()) {
    return;
  }
  for (auto& action : mEngine->TakeActions()) {
    const auto step = StepOf(layer::kGateway, action.index(), moment::kAsked);
    Enqueue(
      step, [this, wanted = std::move(action)](const fault_effect& aEffect) {
        std::visit([&](const auto& aAction) { Do(aAction, aEffect); }, wanted);
      });
  }
}

void
gateway_node::Tick()
{
  mEngine->Tick(mAround.time.Now());
}

clock::time_point
gateway_node::NextTick() const
{
  return mEngine->NextTick();
}

void
gateway_node::Do(const gateway::send_to_pooler& aAction,
                 const fault_effect& aEffect)
{
  auto* pooler = Find(aAction.vm);
  if (pooler == nullptr || !pooler->Alive()) {
    mEngine->NotSent(aAction.request.id, mAround.time.Now());
    return;
  }
  if (aEffect.lost || !mAround.servers.Linked(VmName(), aAction.vm)) {
    return;
  }
  auto message = aAction;
  mAround.rules.Sent(message);
  const auto answered = StepOf(layer::kGateway, 0, moment::kAnswered);
  const auto done = StepOf(layer::kGateway, 0, moment::kDone);
  const auto back = [this, answered, done](const group::answer& aAnswer,
                                           const std::string& aIncarnation) {
    const auto effect = mAround.faults.Reach(done, *this);
    if (effect.lost || !Alive()) {
      return;
    }
    const auto kept = std::make_shared<const group::answer>(aAnswer);
    const auto take = [this, kept, aIncarnation] {
      mEngine->PoolerAnswered(*kept, aIncarnation, mAround.time.Now());
    };
    mAround.time.In(mAround.Transit() + effect.delay,
                    Arrival(answered, take, [] {}));
  };
  const auto sentAt = mAround.time.Now();
  const auto arrive = pooler->Bind([=, this, name = VmName()] {
    // The message carries the remaining time, not an absolute deadline.
    auto arrived = message;
    arrived.request.deadline += mAround.time.Now() - sentAt;
    pooler->Receive(arrived, name, back);
  });
  mAround.time.In(mAround.Transit() + aEffect.delay, arrive);
  if (aEffect.twice) {
    mAround.time.In(mAround.Transit() + kDuplicateDelay, arrive);
  }
}

void
gateway_node::Do(const gateway::cancel_at_pooler& aAction,
                 const fault_effect& aEffect)
{
  auto* pooler = Find(aAction.vm);
  if (pooler != nullptr && pooler->Alive() && !aEffect.lost) {
    mAround.time.In(mAround.Transit() + aEffect.delay,
                    pooler->Bind([pooler, aAction, name = VmName()] {
                      pooler->Receive(aAction, name);
                    }));
  }
}

void
gateway_node::Do(const gateway::give_answer& aAction,
                 const fault_effect& aEffect)
{
  const auto found = mWaiting.find(aAction.answer.number);
  if (found == mWaiting.end()) {
    return;
  }
  const auto done = found->second.done;
  mWaiting.erase(found);
  auto answer = aAction.answer;
  mAround.rules.Given(answer);
  if (!aEffect.lost) {
    done(answer);
  }
}

void
gateway_node::AskForConfiguration()
{
  mAround.time.In(kViewInterval, Bind([this] { AskForConfiguration(); }));
  const bool reached = mOwn != nullptr && mOwn->Alive() && !mOwn->Paused();
  if (!reached) {
    return;
  }
  const auto& held = mOwn->Configuration();
  if (held.version == 0 || held.version == mVersion) {
    return;
  }
  if (mEngine->Configure({ held.version, Classes() })) {
    mVersion = held.version;
    mAround.seen.versions.push_back(
      { VmName() + "/" + std::to_string(StartCount()),
        held.version,
        held.declaration });
  }
}

pooler_node*
gateway_node::Find(const std::string& aVm) const
{
  const auto found =
    std::find_if(mPoolers.begin(), mPoolers.end(), [&](const auto* aPooler) {
      return aPooler->VmName() == aVm;
    });
  return found == mPoolers.end() ? nullptr : *found;
}

} // namespace currantshed::matrix

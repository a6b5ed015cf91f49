#include "test/matrix/operators.hpp"

#include <chrono>
#include <utility>
#include <variant>

#include "currantshed/policy/configuration_record.hpp"
#include "currantshed/store/errors.hpp"
#include "test/matrix/steps.hpp"

namespace currantshed::matrix {

namespace {

constexpr std::chrono::milliseconds kGiveUp{ 2000 };
constexpr std::chrono::milliseconds kTimeout{ 300 };
const std::string kKey = "configuration";

told_outcome
ToOutcome(store::apply_outcome aOutcome)
{
  switch (aOutcome) {
    case store::apply_outcome::kApplied:
      return told_outcome::kDone;
    case store::apply_outcome::kLostRace:
    case store::apply_outcome::kNotReached:
    case store::apply_outcome::kTooLarge:
      return told_outcome::kNotRun;
    case store::apply_outcome::kUnknown:
    case store::apply_outcome::kUnreadable:
      break;
  }
  return told_outcome::kUnknown;
}

} // namespace

operator_call::operator_call(surroundings& aAround, std::string aDeclaration)
  : process(aAround.time, aAround.faults, "operator " + aDeclaration)
  , mAround(aAround)
  , mDeclaration(std::move(aDeclaration))
{
}

void
operator_call::Apply()
{
  Start();
}

void
operator_call::CreateEngines()
{
  store::apply_request request;
  request.declaration = mDeclaration;
  request.change = "change-" + mDeclaration;
  request.giveUpAfter = kGiveUp;
  const auto record =
    policy::ParseConfigurationRecord(mAround.store.keys[kKey].value);
  request.expectedVersion = record ? record->version : 0;
  mApplier.emplace(std::move(request), mAround.time.Now());
}

void
operator_call::Collect()
{
  if (!mApplier) {
    return;
  }
  for (auto& action : mApplier->TakeActions()) {
    const auto step = StepOf(layer::kApply, action.index(), moment::kAsked);
    Enqueue(
      step, [this, wanted = std::move(action)](const fault_effect& aEffect) {
        std::visit([&](const auto& aAction) { Do(aAction, aEffect); }, wanted);
      });
  }
  Note();
}

void
operator_call::Tick()
{
  mApplier->Tick(mAround.time.Now());
}

clock::time_point
operator_call::NextTick() const
{
  return mApplier->Result() ? clock::time_point::max() : mApplier->NextTick();
}

void
operator_call::Note()
{
  const auto& result = mApplier->Result();
  if (!result || mNoted) {
    return;
  }
  mNoted = true;
  mAround.seen.applied.push_back(
    { mDeclaration, result->version, ToOutcome(result->outcome) });
}

void
operator_call::Do(const store::read_configuration& /*aAction*/,
                  const fault_effect& aEffect)
{
  const auto open = std::make_shared<bool>(true);
  const auto end = [this, open](bool aReached, const store::entry& aEntry) {
    if (!std::exchange(*open, false)) {
      return;
    }
    const auto error =
      aReached ? std::error_code{} : make_error_code(store::errc::kUnreachable);
    mApplier->ConfigurationRead(error, aEntry, mAround.time.Now());
  };
  const auto lose = [end] { end(false, {}); };
  mAround.time.In(kTimeout, Bind(lose));
  if (aEffect.lost) {
    return;
  }
  mAround.time.In(aEffect.delay, [=, this] {
    mAround.store.Read(
      kKey, [=, this](bool aReached, const store::entry& aEntry) {
        const auto effect =
          mAround.faults.Reach(StepOf(layer::kApply, 0, moment::kDone), *this);
        if (effect.lost) {
          return;
        }
        mAround.time.In(effect.delay,
                        Arrival(
                          StepOf(layer::kApply, 0, moment::kAnswered),
                          [=] { end(aReached, aEntry); },
                          [] {}));
      });
  });
}

void
operator_call::Do(const store::swap_configuration& aAction,
                  const fault_effect& aEffect)
{
  const auto open = std::make_shared<bool>(true);
  const auto end = [this, open](store::swap_outcome aOutcome) {
    if (std::exchange(*open, false)) {
      mApplier->ConfigurationSwapped(aOutcome, mAround.time.Now());
    }
  };
  const auto lose = [end] { end(store::swap_outcome::kUnknown); };
  mAround.time.In(kTimeout, Bind(lose));
  if (aEffect.lost) {
    return;
  }
  mAround.time.In(aEffect.delay, [=, this] {
    mAround.store.Swap(
      kKey,
      aAction.value,
      aAction.expected,
      [=, this](store::swap_outcome aOutcome) {
        const auto effect =
          mAround.faults.Reach(StepOf(layer::kApply, 1, moment::kDone), *this);
        if (effect.lost) {
          return;
        }
        mAround.time.In(effect.delay,
                        Arrival(
                          StepOf(layer::kApply, 1, moment::kAnswered),
                          [=] { end(aOutcome); },
                          [] {}));
      });
  });
}

} // namespace currantshed::matrix

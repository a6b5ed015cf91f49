#include "currantshed/gateway/engine.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include "currantshed/gateway/exchange.hpp"
#include "currantshed/gateway/filter.hpp"
#include "currantshed/gateway/shared_state.hpp"

namespace currantshed::gateway {

namespace {

class filter_engine final : public request_engine
{
public:
  filter_engine(const engine_settings& aSettings, session::key_ring aKeys)
    : mState(aSettings, std::move(aKeys))
    , mFilters{ MakeSignToken(mState), MakeVerifyToken(mState),
                MakeClassify(mState),  MakeAdmit(mState),
                MakeOutcome(mState),   MakeConfirm(mState),
                MakeRoute(mState) }
  {
  }

  void Submit(caller_request aRequest, clock::time_point aNow) override
  {
    auto made = std::make_unique<exchange>();
    exchange& added = *made;
    added.arrived = aNow;
    added.deadline = aNow + mState.settings.defaultDeadline;
    added.request = std::move(aRequest);
    const request_number number = added.request.number;
    mExchanges[number] = std::move(made);
    Run(added, 0, step::kForward, aNow);
  }

  void Cancel(request_number aRequest, clock::time_point aNow) override
  {
    const auto found = mExchanges.find(aRequest);
    if (found != mExchanges.end()) {
      ++mState.counters.abandoned;
      Return(*found->second, return_cause::kCallerGone, aNow);
    }
  }

  void PoolerAnswered(group::answer aAnswer,
                      std::string aIncarnation,
                      clock::time_point aNow) override
  {
    exchange* waiting = FindSent(aAnswer.request);
    if (waiting == nullptr) {
      // The exchange has ended or was sent elsewhere since.
      return;
    }
    waiting->reply = std::move(aAnswer);
    waiting->incarnation = std::move(aIncarnation);
    Return(*waiting, return_cause::kReply, aNow);
  }

  void NotSent(group::request_id aRequest, clock::time_point aNow) override
  {
    if (exchange* waiting = FindSent(aRequest)) {
      Return(*waiting, return_cause::kNotSent, aNow);
    }
  }

  void PoolerLost(const std::string& aVm, clock::time_point aNow) override
  {
    mState.health.MarkSuspect(aVm, aNow + mState.settings.suspectDuration);
    for (const request_number number : SentTo(aVm)) {
      Return(*mExchanges.at(number), return_cause::kPoolerLost, aNow);
    }
  }

  void ViewChanged(fleet_view aView, clock::time_point aNow) override
  {
    std::vector<std::string> before;
    for (const auto& vm : mState.view.live) {
      before.push_back(vm.id);
    }
    mState.SetView(std::move(aView));
    for (const auto& vm : before) {
      if (!mState.IsLive(vm)) {
        PoolerLost(vm, aNow);
      }
    }
  }

  bool Configure(class_rules aConfiguration) override
  {
    if (aConfiguration.version < mState.configurationVersion) {
      return false;
    }
    mState.SetConfiguration(std::move(aConfiguration));
    return true;
  }

  void Drain() override { mState.draining = true; }

  void ExpireAll(clock::time_point aNow) override
  {
    for (const request_number number : Numbers()) {
      Return(*mExchanges.at(number), return_cause::kDeadline, aNow);
    }
  }

  void Tick(clock::time_point aNow) override
  {
    while (!mDue.empty() && mDue.begin()->first <= aNow) {
      exchange& waiting = *mExchanges.at(mDue.begin()->second);
      mDue.erase(mDue.begin());
      OnDue(waiting, aNow);
    }
  }

  [[nodiscard]] clock::time_point NextTick() const noexcept override
  {
    return mDue.empty() ? clock::time_point::max() : mDue.begin()->first;
  }

  [[nodiscard]] std::size_t Pending() const noexcept override
  {
    return mExchanges.size();
  }

  [[nodiscard]] const engine_counters& Counters() const noexcept override
  {
    return mState.counters;
  }

  [[nodiscard]] std::vector<action> TakeActions() override
  {
    return std::exchange(mState.actions, {});
  }

private:
  static constexpr std::size_t kFilters = 7;

  /// Sends an exchange back from the pooler's end of the pipeline.
  void Return(exchange& aExchange, return_cause aCause, clock::time_point aNow)
  {
    mDue.erase({ aExchange.due, aExchange.request.number });
    mSent.erase(aExchange.sentAs);
    aExchange.returnCause = aCause;
    Run(aExchange, kFilters, step::kBack, aNow);
  }

  /// Moves an exchange through the filters until it waits or is answered. aAt
  /// is the filter to enter when going forward, and the one just left when
  /// going back.
  void Run(exchange& aExchange,
           std::size_t aAt,
           step aStep,
           clock::time_point aNow)
  {
    while (aStep != step::kWait) {
      if (aStep == step::kForward) {
        aStep = mFilters[aAt]->Forward(aExchange, aNow);
        if (aStep == step::kForward) {
          ++aAt;
        } else if (aStep == step::kBack) {
          aExchange.returnCause = return_cause::kSettled;
        }
        continue;
      }
      if (aAt == 0) {
        Finish(aExchange, aNow);
        return;
      }
      --aAt;
      aStep = mFilters[aAt]->Back(aExchange, aNow);
      if (aStep == step::kForward) {
        ++aAt;
      }
    }
    mDue.insert({ aExchange.due, aExchange.request.number });
    if (aExchange.sentAs != 0) {
      mSent[aExchange.sentAs] = aExchange.request.number;
    }
  }

  void OnDue(exchange& aExchange, clock::time_point aNow)
  {
    if (aNow >= aExchange.deadline) {
      Return(aExchange, return_cause::kDeadline, aNow);
      return;
    }
    if (aExchange.sentAs == 0) {
      Run(aExchange, kFilters - 1, step::kForward, aNow);
      return;
    }
    const auto lastReplyAt = mState.health.LastReplyAt(aExchange.vm);
    const auto replyDueAt =
      std::max(lastReplyAt, aExchange.sentAt) + aExchange.replyTimeout;
    if (replyDueAt <= aNow) {
      Return(aExchange, return_cause::kPoolerLost, aNow);
      return;
    }
    aExchange.due = std::min(replyDueAt, aExchange.deadline);
    mDue.insert({ aExchange.due, aExchange.request.number });
  }

  void Finish(exchange& aExchange, clock::time_point aNow)
  {
    const request_number number = aExchange.request.number;
    if (aExchange.returnCause != return_cause::kCallerGone) {
      mState.actions.emplace_back(Compose(aExchange, aNow));
    }
    mExchanges.erase(number);
  }

  [[nodiscard]] static give_answer Compose(exchange& aExchange,
                                           clock::time_point aNow)
  {
    give_answer given;
    given.answer = std::move(aExchange.answer);
    given.answer.number = aExchange.request.number;
    if (aExchange.work != nullptr) {
      given.workClass = aExchange.work->name;
    }
    given.latency = std::chrono::duration_cast<std::chrono::microseconds>(
      aNow - aExchange.arrived);
    const bool done = given.answer.verdict == outcome::verdict::kDone;
    given.deadlineMet = done && aNow <= aExchange.deadline;
    given.read = done && aExchange.work != nullptr &&
                 aExchange.work->kind == policy::access::kRead;
    return given;
  }

  [[nodiscard]] exchange* FindSent(group::request_id aId)
  {
    const auto found = mSent.find(aId);
    return found == mSent.end() ? nullptr : mExchanges.at(found->second).get();
  }

  /// Numbers of the exchanges in flight at a VM's pooler, sorted.
  [[nodiscard]] std::vector<request_number> SentTo(const std::string& aVm) const
  {
    std::vector<request_number> numbers;
    for (const auto& [id, number] : mSent) {
      if (mExchanges.at(number)->vm == aVm) {
        numbers.push_back(number);
      }
    }
    std::sort(numbers.begin(), numbers.end());
    return numbers;
  }

  [[nodiscard]] std::vector<request_number> Numbers() const
  {
    std::vector<request_number> numbers;
    for (const auto& [number, waiting] : mExchanges) {
      numbers.push_back(number);
    }
    std::sort(numbers.begin(), numbers.end());
    return numbers;
  }

  shared_state mState;
  std::array<std::unique_ptr<filter>, kFilters> mFilters;
  absl::flat_hash_map<request_number, std::unique_ptr<exchange>> mExchanges;
  /// Exchanges by the id of their request in flight at a pooler.
  absl::flat_hash_map<group::request_id, request_number> mSent;
  absl::btree_set<std::pair<clock::time_point, request_number>> mDue;
};

} // namespace

std::unique_ptr<request_engine>
MakeEngine(const engine_settings& aSettings, session::key_ring aKeys)
{
  return std::make_unique<filter_engine>(aSettings, std::move(aKeys));
}

} // namespace currantshed::gateway

#include <algorithm>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "currantshed/gateway/exchange.hpp"
#include "currantshed/gateway/filter.hpp"
#include "currantshed/gateway/shared_state.hpp"

namespace currantshed::gateway {

namespace {

constexpr std::chrono::seconds kRateWindow{ 1 };
constexpr std::chrono::milliseconds kMinRetryAfter{ 20 };
constexpr std::chrono::milliseconds kMaxRetryAfter{ 2000 };

/// Whether the call starts new work. Calls that continue existing work are
/// never rejected for lack of capacity.
bool
IsNewWork(const exchange& aExchange)
{
  return aExchange.request.kind == call_kind::kStatements ||
         aExchange.request.kind == call_kind::kBegin;
}

/// Requests in flight of one class, and the rate at which they complete.
class class_load
{
public:
  void Enter() { ++mInFlight; }

  void Leave(clock::time_point aNow)
  {
    --mInFlight;
    if (aNow - mWindowStart >= kRateWindow) {
      mLastCount = aNow - mWindowStart < 2 * kRateWindow ? mCount : 0;
      mCount = 0;
      mWindowStart = aNow;
    }
    ++mCount;
  }

  [[nodiscard]] std::size_t InFlight() const { return mInFlight; }

  /// Estimated time for the requests in flight to complete at the recent rate.
  [[nodiscard]] std::chrono::milliseconds DrainTime() const
  {
    const std::size_t rate = std::max<std::size_t>({ mLastCount, mCount, 1 });
    const std::chrono::milliseconds window = kRateWindow;
    const auto wait = window * mInFlight / rate;
    return std::clamp<std::chrono::milliseconds>(
      wait, kMinRetryAfter, kMaxRetryAfter);
  }

private:
  std::size_t mInFlight = 0;
  clock::time_point mWindowStart;
  std::size_t mCount = 0;
  std::size_t mLastCount = 0;
};

/// Each class may use at most half of the remaining capacity, so that no class
/// can starve the others however many requests it sends. This needs no weights
/// (dynamic thresholds: Choudhury and Hahne, 1998).
class admit final : public filter
{
public:
  explicit admit(shared_state& aState)
    : mState(aState)
  {
  }

  step Forward(exchange& aExchange, clock::time_point /*aNow*/) override
  {
    if (!IsNewWork(aExchange)) {
      return step::kForward;
    }
    if (mState.draining) {
      return Reject(aExchange, outcome::reason::kLeaving, kMinRetryAfter);
    }
    class_load& load = mLoads[aExchange.work->name];
    const std::size_t room = mState.settings.inFlightLimit - mInFlight;
    if (load.InFlight() >= room) {
      return Reject(aExchange, outcome::reason::kOverloaded, load.DrainTime());
    }
    load.Enter();
    ++mInFlight;
    aExchange.admitted = true;
    mState.retries.Deposit();
    return step::kForward;
  }

  step Back(exchange& aExchange, clock::time_point aNow) override
  {
    if (aExchange.admitted) {
      aExchange.admitted = false;
      --mInFlight;
      mLoads[aExchange.work->name].Leave(aNow);
    }
    return step::kBack;
  }

private:
  step Reject(exchange& aExchange,
              outcome::reason aWhy,
              std::chrono::milliseconds aWait)
  {
    ++mState.counters.refusals;
    aExchange.answer = NotRun(aWhy, mState.AddJitter(aWait));
    return step::kBack;
  }

  shared_state& mState;
  std::size_t mInFlight = 0;
  absl::flat_hash_map<std::string, class_load> mLoads;
};

} // namespace

std::unique_ptr<filter>
MakeAdmit(shared_state& aState)
{
  return std::make_unique<admit>(aState);
}

} // namespace currantshed::gateway

#ifndef CURRANTSHED_TEST_MATRIX_STORE_HPP
#define CURRANTSHED_TEST_MATRIX_STORE_HPP

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "currantshed/store/client.hpp"
#include "test/matrix/process.hpp"

namespace currantshed::matrix {

/// A fake of the platform's store: keys with compare-and-swap, and injected
/// faults.
class fake_store
{
public:
  using read_done = std::function<void(bool, const store::entry&)>;
  using swap_done = std::function<void(store::swap_outcome)>;

  explicit fake_store(timeline& aTimeline)
    : mTimeline(aTimeline)
  {
  }

  /// Reads a key on behalf of a process; the answer is delivered through that
  /// process's own arrival step.
  void Read(const std::string& aKey, const read_done& aDone)
  {
    mTimeline.In(Delay(), [this, aKey, aDone] {
      const bool reached = !down;
      const auto content = reached ? keys[aKey] : store::entry{};
      mTimeline.In(Delay(), [=] { aDone(reached, content); });
    });
  }

  void Swap(const std::string& aKey,
            const std::string& aValue,
            store::index aExpected,
            const swap_done& aDone)
  {
    mTimeline.In(Delay(), [=, this] {
      auto outcome = store::swap_outcome::kUnknown;
      if (!down) {
        outcome = Apply(aKey, aValue, aExpected);
      }
      if (losesAnswers) {
        outcome = store::swap_outcome::kUnknown;
      }
      mTimeline.In(Delay(), [=] { aDone(outcome); });
    });
  }

  store::swap_outcome Apply(const std::string& aKey,
                            const std::string& aValue,
                            store::index aExpected)
  {
    auto& held = keys[aKey];
    if (held.version != aExpected) {
      return store::swap_outcome::kConflict;
    }
    held.value = aValue;
    ++held.version;
    if (changed) {
      changed(aKey, aValue);
    }
    return store::swap_outcome::kApplied;
  }

  std::map<std::string, store::entry> keys;
  std::function<void(const std::string&, const std::string&)> changed;
  bool down = false;
  bool slow = false;
  bool losesAnswers = false;

private:
  [[nodiscard]] clock::duration Delay() const
  {
    return std::chrono::milliseconds(slow ? 700 : 2);
  }

  timeline& mTimeline;
};

} // namespace currantshed::matrix

#endif

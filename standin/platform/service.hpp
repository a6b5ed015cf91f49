#ifndef CURRANTSHED_STANDIN_PLATFORM_SERVICE_HPP
#define CURRANTSHED_STANDIN_PLATFORM_SERVICE_HPP

#include <chrono>
#include <string>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "standin/platform/call.hpp"
#include "standin/platform/call_counter.hpp"
#include "standin/platform/catalog.hpp"
#include "standin/platform/faults.hpp"
#include "standin/platform/store.hpp"

namespace currantshed::standin {

/// The platform without its network layer: maps calls to responses and stores
/// the injected faults, which the server applies. Not thread-safe.
class service
{
public:
  service(catalog_content aContent,
          std::chrono::milliseconds aListLag,
          rate_limits aLimits);

  /// Handles a call of the platform's interface. A watch is answered as a plain
  /// read.
  [[nodiscard]] answer Handle(const call& aCall, clock::time_point aNow);

  /// Handles a call of the control interface.
  [[nodiscard]] answer Control(const call& aCall,
                               std::size_t aWaitingWatches,
                               clock::time_point aNow);

  /// Whether the watched key has changed since the index of the call.
  [[nodiscard]] bool IsWatchReady(const call& aCall) const;

  /// Ends expired sessions.
  void Expire(clock::time_point aNow);

  /// Returns the keys changed since the previous call.
  [[nodiscard]] std::vector<std::string> TakeChangedKeys();

  [[nodiscard]] call_counter& Counter() { return mCounter; }
  [[nodiscard]] faults& Faults() { return mFaults; }

private:
  [[nodiscard]] answer ReadKey(const std::string& aKey) const;
  answer WriteKey(const std::string& aKey, const call& aCall);
  answer HandleSession(const call& aCall, clock::time_point aNow);
  answer CreateSession(const call& aCall, clock::time_point aNow);
  answer SetFaults(const call& aCall);
  answer ReplaceShape(const call& aCall, clock::time_point aNow);
  void AddChangedKeys(const std::vector<std::string>& aKeys);

  store mStore;
  catalog mCatalog;
  call_counter mCounter;
  faults mFaults;
  std::vector<std::string> mChangedKeys;
};

/// The key addressed by a call of the key-value interface.
[[nodiscard]] std::string
KeyOf(const call& aCall);

} // namespace currantshed::standin

#endif

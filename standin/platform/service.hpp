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

/// The platform without its sockets: calls in, answers out, faults kept but
/// not carried out. Not safe for use by several threads.
class service
{
public:
  service(catalog_content aContent,
          std::chrono::milliseconds aListLag,
          rate_limits aLimits);

  /// Answers a call of the platform's interface. A watch is answered as a
  /// plain read.
  [[nodiscard]] answer Handle(const call& aCall, clock::time_point aNow);

  /// Answers a call to the stand-in itself.
  [[nodiscard]] answer Control(const call& aCall,
                               std::size_t aWaitingWatches,
                               clock::time_point aNow);

  /// Whether a watch on the call's key has something to tell.
  [[nodiscard]] bool IsWatchReady(const call& aCall) const;

  /// Lets sessions lapse.
  void Expire(clock::time_point aNow);

  /// The keys changed since the last call.
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

/// The key that a call of the key-value interface names.
[[nodiscard]] std::string
KeyOf(const call& aCall);

} // namespace currantshed::standin

#endif

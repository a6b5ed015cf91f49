#ifndef CURRANTSHED_STANDIN_PLATFORM_CATALOG_HPP
#define CURRANTSHED_STANDIN_PLATFORM_CATALOG_HPP

#include <chrono>
#include <deque>
#include <string>
#include <string_view>

#include "currantshed/clock/time.hpp"
#include "standin/platform/shape.hpp"

namespace currantshed::standin {

/// The platform's lists of VMs and upstreams. A change becomes visible only
/// after a lag.
class catalog
{
public:
  catalog(catalog_content aContent, std::chrono::milliseconds aLag);

  /// Replaces the lists.
  void Replace(catalog_content aContent, clock::time_point aNow);

  /// Sets a VM to live, leaving or gone; false if the VM or the state is
  /// unknown.
  [[nodiscard]] bool SetVm(std::string_view aId,
                           std::string_view aState,
                           clock::time_point aNow);

  /// Sets a database server to live or leaving; false if the server or the
  /// state is unknown.
  [[nodiscard]] bool SetUpstream(std::string_view aId,
                                 std::string_view aState,
                                 clock::time_point aNow);

  /// Sets the lag of subsequent changes.
  void SetLag(std::chrono::milliseconds aLag);

  /// The response to GET /v1/catalog/service/currantshed.
  [[nodiscard]] std::string VmsJson(clock::time_point aNow);

  /// The response to GET /v1/catalog/service/upstream.
  [[nodiscard]] std::string UpstreamsJson(clock::time_point aNow);

private:
  struct pending_change
  {
    clock::time_point visibleAt;
    catalog_content content;
  };

  void QueueChange(clock::time_point aNow);
  void ApplyDueChanges(clock::time_point aNow);

  std::chrono::milliseconds mLag;
  /// Content with all changes applied.
  catalog_content mLatest;
  /// Content that is visible to callers.
  catalog_content mVisible;
  std::deque<pending_change> mPending;
};

} // namespace currantshed::standin

#endif

#ifndef CURRANTSHED_POOLER_STATUS_REPORTER_HPP
#define CURRANTSHED_POOLER_STATUS_REPORTER_HPP

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/http/status_response.hpp"
#include "currantshed/member/membership.hpp"
#include "currantshed/pooler/fwd.hpp"
#include "currantshed/pooler/settings.hpp"

namespace currantshed::pooler {

/// Status of one group.
struct group_status
{
  member::term_update latestTerm;
  /// Rank of this pooler among the owners; negative if it is not an owner.
  int rank = -1;
};

/// Status of the control thread.
struct control_status
{
  std::uint64_t configurationVersion = 0;
  bool hasList = false;
  bool isLeaving = false;
  std::vector<group_status> groups;
};

/// Readiness and status of the pooler, written by its threads and read by the
/// thread of the status server.
class status_reporter final : public http::status_source
{
public:
  explicit status_reporter(const settings& aSettings);

  void SetControl(control_status aStatus);

  /// Records that the traffic thread was running at the given time.
  void MarkTrafficAlive(clock::time_point aNow);

  /// Whether the pooler has a configuration and a listing, is not leaving, and
  /// its traffic thread has run recently.
  [[nodiscard]] bool Ready() const override;

  [[nodiscard]] std::string StatusJson() const override;

private:
  const settings& mSettings;
  /// Protects the members below. A standard mutex, since the thread sanitizer
  /// does not see the locks of a library that is built without it.
  mutable std::mutex mMutex;
  control_status mControl;
  clock::time_point mTrafficAliveAt;
};

} // namespace currantshed::pooler

#endif

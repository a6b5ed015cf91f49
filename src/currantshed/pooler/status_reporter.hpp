#ifndef CURRANTSHED_POOLER_STATUS_REPORTER_HPP
#define CURRANTSHED_POOLER_STATUS_REPORTER_HPP

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/http/status_answer.hpp"
#include "currantshed/member/membership.hpp"
#include "currantshed/pooler/fwd.hpp"
#include "currantshed/pooler/settings.hpp"

namespace currantshed::pooler {

/// What the status page tells of one group.
struct group_status
{
  member::term_update news;
  /// This pooler's rank among the owners, or a negative number.
  int rank = -1;
};

/// What the control thread knows, for the status page.
struct control_status
{
  std::uint64_t configurationVersion = 0;
  bool hasList = false;
  bool isLeaving = false;
  std::vector<group_status> groups;
};

/// The pooler's word about itself, written by its threads and read by the
/// status server's.
class status_reporter final : public http::status_source
{
public:
  explicit status_reporter(const settings& aSettings);

  void SetControl(control_status aStatus);

  /// Notes that the traffic thread runs.
  void MarkTrafficAlive(clock::time_point aNow);

  /// Has a configuration and a list of groups, isn't leaving, and its traffic
  /// thread has run lately.
  [[nodiscard]] bool Ready() const override;

  [[nodiscard]] std::string StatusJson() const override;

private:
  const settings& mSettings;
  /// Guards what follows. Of the standard library, since the thread sanitizer
  /// doesn't see the locks of a library that is built without it.
  mutable std::mutex mMutex;
  control_status mControl;
  clock::time_point mTrafficAliveAt;
};

} // namespace currantshed::pooler

#endif

#ifndef CURRANTSHED_ROUTE_READ_ROUTE_HPP
#define CURRANTSHED_ROUTE_READ_ROUTE_HPP

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/confirm/status_tracker.hpp"
#include "currantshed/outcome/verdict.hpp"
#include "currantshed/position/log_position.hpp"
#include "currantshed/route/fwd.hpp"
#include "currantshed/upstream/fwd.hpp"

namespace currantshed::route {

/// One server as the choice sees it.
struct candidate
{
  upstream::server_id server;
  std::string failureDomain;
  bool leaving = false;
  /// Statements that it runs for this pooler at the moment.
  unsigned inUse = 0;
  unsigned slots = 1;
  /// Whether a batch could be sent, or a connection opened for it, now.
  bool hasCapacity = false;
  /// Whether a connection is at hand, so that none need be opened first.
  bool connected = false;
};

/// What a read asks of the server that runs it.
struct read_requirements
{
  /// Failure domains that may serve it; a hard limit, so none means nowhere.
  const std::vector<std::string>& servedIn;
  position::log_position floor;
  /// How old its data may be.
  std::chrono::milliseconds maxStaleness{ 0 };
  /// Whether it must see all that was acknowledged before it began.
  bool fresh = false;
  /// Servers that have been tried in vain.
  const std::vector<upstream::server_id>& tried;
  /// Whether it has waited for so long that the primary should take it
  /// although a replica could, later.
  bool allowSpillover = false;
};

enum class availability
{
  /// A server can take it now.
  kReady,
  /// Servers could, but none has room now.
  kBusy,
  /// No server can at present; the reason tells why.
  kNone,
};

/// The server chosen, by its place among the candidates.
struct choice
{
  availability state = availability::kNone;
  std::size_t index = 0;
  outcome::reason why = outcome::reason::kNone;
};

/// Whether the class may be served in the failure domain.
[[nodiscard]] bool
IsServedIn(const std::vector<std::string>& aServedIn,
           const std::string& aFailureDomain);

/// Chooses the server for a read. Fresh reads go to the primary. Others go
/// to the least loaded replica that is expected to hold data new enough, by
/// its last word and its lag, and to the primary only where no replica is.
[[nodiscard]] choice
ChooseForRead(const std::vector<candidate>& aCandidates,
              const read_requirements& aRequirements,
              const confirm::status_tracker& aTracker,
              clock::time_point aNow);

/// Chooses the server for what only the primary may do.
[[nodiscard]] choice
ChoosePrimary(const std::vector<candidate>& aCandidates,
              const std::vector<std::string>& aServedIn,
              const confirm::status_tracker& aTracker,
              clock::time_point aNow);

} // namespace currantshed::route

#endif

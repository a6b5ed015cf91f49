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

/// A server that may be chosen, with its load at this pooler.
struct candidate
{
  upstream::server_id server;
  std::string failureDomain;
  bool leaving = false;
  /// Number of statements that it currently runs for this pooler.
  unsigned inUse = 0;
  unsigned slots = 1;
  /// Whether a batch can be sent now, or a connection opened for it.
  bool hasCapacity = false;
  /// Whether the pool has an idle connection, so that none needs to be opened.
  bool connected = false;
};

/// Requirements of a read on the server that runs it.
struct read_requirements
{
  /// Failure domains that may serve it; a hard constraint, so an empty list
  /// allows none.
  const std::vector<std::string>& servedIn;
  position::log_position floor;
  /// Maximum age of the data.
  std::chrono::milliseconds maxStaleness{ 0 };
  /// Whether it must see every write acknowledged before it began.
  bool fresh = false;
  /// Servers that were already tried without success.
  const std::vector<upstream::server_id>& tried;
  /// Whether it has waited long enough for the replicas that the primary may
  /// serve it.
  bool allowSpillover = false;
};

enum class availability
{
  /// A server can take the request now.
  kReady,
  /// Servers meet the requirements, but none has capacity now.
  kBusy,
  /// No server currently meets the requirements; see the reason.
  kNone,
};

/// The chosen server, as an index into the candidates.
struct choice
{
  availability state = availability::kNone;
  std::size_t index = 0;
  outcome::reason why = outcome::reason::kNone;
};

/// Whether aServedIn allows the failure domain.
[[nodiscard]] bool
IsServedIn(const std::vector<std::string>& aServedIn,
           const std::string& aFailureDomain);

/// Chooses the server for a read. Fresh reads go to the primary. Other reads go
/// to the least loaded replica that is expected, by its latest status and its
/// lag, to have sufficiently recent data, and to the primary only if there is
/// no such replica.
[[nodiscard]] choice
ChooseForRead(const std::vector<candidate>& aCandidates,
              const read_requirements& aRequirements,
              const confirm::status_tracker& aTracker,
              clock::time_point aNow);

/// Chooses the server for a request that only the primary can serve.
[[nodiscard]] choice
ChoosePrimary(const std::vector<candidate>& aCandidates,
              const std::vector<std::string>& aServedIn,
              const confirm::status_tracker& aTracker,
              clock::time_point aNow);

} // namespace currantshed::route

#endif

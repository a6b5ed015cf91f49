#ifndef CURRANTSHED_NODE_SERVER_LIST_HPP
#define CURRANTSHED_NODE_SERVER_LIST_HPP

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/proxy/configuration.hpp"

namespace currantshed::node {

/// What this VM assumes about a server, based on the store's list.
enum class listing_state
{
  /// Listed and not draining.
  kReady,
  /// Listed, and has announced that it is draining.
  kDraining,
  /// No longer listed, but kept for a grace period: entries of running servers
  /// may expire while the store is unavailable, and are back soon after.
  kMissing,
  /// Missing for longer than the grace period.
  kGone,
};

/// How this VM learned the state of the store's list.
enum class list_source
{
  /// Changes arrived through a watch as they were made.
  kWatch,
  /// The list was read as a whole after a gap. Which changes were made in
  /// between, and when, is unknown.
  kResync,
};

/// A change of one server's state, for logging.
struct server_change
{
  proxy::server server;
  listing_state state = listing_state::kReady;
  /// The server was not known before.
  bool isNew = false;
};

/// The servers that the store lists, and those that it listed until recently.
/// Does no I/O.
class server_list
{
public:
  /// Replaces the list by what the store lists now. Returns the servers whose
  /// state has changed.
  std::vector<server_change> Update(std::vector<proxy::server> aListed,
                                    list_source aSource,
                                    clock::time_point aNow);

  /// To be called when the store was restored from an older snapshot, which may
  /// lack recent writes of servers. Until the servers have written again, those
  /// that were draining are assumed to be draining still.
  void OnStoreRestored(clock::time_point aNow) noexcept;

  /// Whether the grace period of a missing server, or of a restored store, has
  /// ended, so that Update must be called again.
  [[nodiscard]] bool IsDue(clock::time_point aNow) const;

  [[nodiscard]] const std::vector<proxy::server>& Servers() const noexcept
  {
    return mServers;
  }

private:
  void SetDrainingSince(proxy::server& aListed,
                        list_source aSource,
                        clock::time_point aNow) const;
  void KeepDraining(proxy::server& aListed) const;
  void KeepMissing(std::vector<proxy::server>& aListed,
                   std::vector<server_change>& aChanges,
                   clock::time_point aNow);

  [[nodiscard]] const proxy::server* Find(const upstream::server_id& aId) const;

  std::vector<proxy::server> mServers;
  // Index of each server in mServers.
  absl::flat_hash_map<upstream::server_id, std::size_t> mIndexes;
  // Servers that are no longer listed, and since when.
  absl::btree_map<upstream::server_id, clock::time_point> mMissing;
  // Until when the list may come from an older snapshot.
  std::optional<clock::time_point> mRestoredUntil;
};

/// Name of the state for logs and metrics.
[[nodiscard]] std::string_view
ToString(listing_state aState);

/// Name of the source for logs.
[[nodiscard]] std::string_view
ToString(list_source aSource);

} // namespace currantshed::node

#endif

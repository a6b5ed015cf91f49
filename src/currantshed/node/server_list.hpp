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

/// What a VM comes to believe of one server on the store's list.
enum class listing_state
{
  /// Listed, and stays.
  kReady,
  /// Listed, and has said that it leaves.
  kLeaving,
  /// Listed no longer, but kept for a while: entries of servers that live may
  /// lapse while the store is away, and are back soon after.
  kMissing,
  /// Missing for so long that it counts as gone.
  kGone,
};

/// How a VM came to know what the store lists.
enum class list_source
{
  /// Changes came as they were made.
  kWatch,
  /// What the changes in between were, and when they were made, is not known.
  kResync,
};

/// One belief that has changed, for the log.
struct server_change
{
  proxy::server server;
  listing_state standing = listing_state::kReady;
  /// It was not known before.
  bool isNew = false;
};

/// The servers that the store lists, and those that it listed until lately.
/// Does no I/O.
class server_list
{
public:
  /// Takes over what the store lists now. Returns whose standing has changed.
  std::vector<server_change> Take(std::vector<proxy::server> aListed,
                                  list_source aSource,
                                  clock::time_point aNow);

  /// The store has come back from an older copy, which may lack what servers
  /// have said since: until they have written it again, those that leave are
  /// taken to leave on.
  void OnStoreRestored(clock::time_point aNow) noexcept;

  /// Whether the time of a missing server is up, or that of an older copy, so
  /// that the list is to be taken anew.
  [[nodiscard]] bool IsDue(clock::time_point aNow) const;

  [[nodiscard]] const std::vector<proxy::server>& Servers() const noexcept
  {
    return mServers;
  }

private:
  void NoteLeaving(proxy::server& aListed,
                   list_source aSource,
                   clock::time_point aNow) const;
  void KeepLeaving(proxy::server& aListed) const;
  void KeepMissing(std::vector<proxy::server>& aListed,
                   std::vector<server_change>& aNews,
                   clock::time_point aNow);

  [[nodiscard]] const proxy::server* Find(const upstream::server_id& aId) const;

  std::vector<proxy::server> mServers;
  // Where each stands among them.
  absl::flat_hash_map<upstream::server_id, std::size_t> mPlaces;
  // Servers that are listed no longer, and since when.
  absl::btree_map<upstream::server_id, clock::time_point> mMissing;
  // Until when the list may be an older copy.
  std::optional<clock::time_point> mOlderUntil;
};

/// The standing as one word for logs.
[[nodiscard]] std::string_view
ToString(listing_state aStanding);

/// The source as one word for logs.
[[nodiscard]] std::string_view
ToString(list_source aSource);

} // namespace currantshed::node

#endif

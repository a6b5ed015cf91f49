#ifndef CURRANTSHED_STORE_CLIENT_HPP
#define CURRANTSHED_STORE_CLIENT_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

#include "currantshed/group/description.hpp"
#include "currantshed/store/fwd.hpp"

namespace currantshed::store {

/// The version of one key; zero for a key that does not exist.
using index = std::uint64_t;

/// A key's value and version.
struct entry
{
  std::string value;
  /// Zero if the key does not exist; the value is empty then.
  index version = 0;
};

/// The outcome of a compare-and-swap.
enum class swap_outcome
{
  /// The store holds the new value.
  kApplied,
  /// The key had another version; nothing was changed.
  kConflict,
  /// No response arrived: the change may or may not have been made.
  kUnknown,
};

/// A VM that runs this system.
struct vm
{
  std::string id;
  /// IP address.
  std::string address;
  std::string failureDomain;
  /// Port on which the pooler accepts requests.
  std::uint16_t poolerPort = 0;
  /// Port on which the pooler receives heartbeats of its peers.
  std::uint16_t peerPort = 0;
  /// Port of the pooler's HTTP server for metrics, health and status.
  std::uint16_t statusPort = 0;
  bool leaving = false;

  [[nodiscard]] friend bool operator==(const vm&, const vm&) = default;
};

/// The platform's list of VMs and groups. It may lag behind the actual state.
struct listing
{
  std::vector<vm> vms;
  std::vector<group::description> groups;
};

/// A client of the platform. Calls return immediately. Each callback runs
/// exactly once, on the thread that drives the client. Errors are of
/// StoreCategory().
class client
{
public:
  using entry_callback = std::function<void(std::error_code, entry)>;
  using swap_callback = std::function<void(swap_outcome)>;
  using listing_callback = std::function<void(std::error_code, listing)>;

  virtual ~client() = default;

  /// Reads a key.
  virtual void Get(std::string aKey, entry_callback aDone) = 0;

  /// Waits until the key's version differs from the known one, for at most the
  /// given time, then reads the key. Counts as one call towards the platform's
  /// rate limit.
  virtual void Watch(std::string aKey,
                     index aKnown,
                     std::chrono::milliseconds aMaxWait,
                     entry_callback aDone) = 0;

  /// Writes a key if it still has the expected version; zero expects that the
  /// key does not exist.
  virtual void Swap(std::string aKey,
                    std::string aValue,
                    index aExpected,
                    swap_callback aDone) = 0;

  /// Reads the list of VMs and groups.
  virtual void List(listing_callback aDone) = 0;
};

} // namespace currantshed::store

#endif

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

/// Version of one key; zero stands for a key that does not exist.
using index = std::uint64_t;

/// One key as the store holds it.
struct entry
{
  std::string value;
  /// Zero where the key does not exist; the value is empty then.
  index version = 0;
};

/// How a compare-and-swap ended.
enum class swap_outcome
{
  /// The store holds the new value.
  kApplied,
  /// The key had another version; nothing was changed.
  kConflict,
  /// No answer came: the change may have been made or not.
  kUnknown,
};

/// One VM of the system's own.
struct vm
{
  std::string id;
  /// IP number.
  std::string address;
  std::string failureDomain;
  /// Port of the pooler's socket for requests.
  std::uint16_t poolerPort = 0;
  /// Port of the pooler's socket for heartbeats of its peers.
  std::uint16_t peerPort = 0;
  /// Port of the pooler's HTTP server for metrics, health and status.
  std::uint16_t statusPort = 0;
  bool leaving = false;

  [[nodiscard]] friend bool operator==(const vm&, const vm&) = default;
};

/// The platform's list of VMs; it lags behind.
struct listing
{
  std::vector<vm> vms;
  std::vector<group::description> groups;
};

/// The platform's service. Calls return at once; each callback runs once, on
/// the thread that drives the client. Errors are of the platform's category.
class client
{
public:
  using entry_callback = std::function<void(std::error_code, entry)>;
  using swap_callback = std::function<void(swap_outcome)>;
  using listing_callback = std::function<void(std::error_code, listing)>;

  virtual ~client() = default;

  /// Reads a key.
  virtual void Get(std::string aKey, entry_callback aDone) = 0;

  /// Waits until the key's version differs from the given one, at most for
  /// the given time, then reads it. Counts as one call of the platform.
  virtual void Watch(std::string aKey,
                     index aKnown,
                     std::chrono::milliseconds aMaxWait,
                     entry_callback aDone) = 0;

  /// Writes a key if its version is still the expected one; zero expects
  /// that the key does not exist.
  virtual void Swap(std::string aKey,
                    std::string aValue,
                    index aExpected,
                    swap_callback aDone) = 0;

  /// Reads the list of VMs and groups.
  virtual void List(listing_callback aDone) = 0;
};

} // namespace currantshed::store

#endif

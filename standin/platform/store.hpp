#ifndef CURRANTSHED_STANDIN_PLATFORM_STORE_HPP
#define CURRANTSHED_STANDIN_PLATFORM_STORE_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include "currantshed/clock/time.hpp"

namespace currantshed::standin {

/// One key of the store.
struct stored_value
{
  std::string value;
  std::uint64_t createIndex = 0;
  std::uint64_t modifyIndex = 0;
  /// Number of times a session has acquired the key.
  std::uint64_t lockIndex = 0;
  /// The session that holds the key; empty if none.
  std::string session;
};

/// Keys and sessions in memory. Every change takes the next index of one
/// sequence for the whole store. There is no lock delay: a key whose session
/// has ended can be acquired at once, which is the harder case for its holder.
class store
{
public:
  /// Returns the key, or null.
  [[nodiscard]] const stored_value* Find(const std::string& aKey) const;

  /// The index of the last change; never zero.
  [[nodiscard]] std::uint64_t Index() const noexcept;

  /// Writes a key. If an index is given, it must match the current index of the
  /// key (compare-and-set); zero means that the key must not exist.
  [[nodiscard]] bool Put(const std::string& aKey,
                         std::string aValue,
                         std::optional<std::uint64_t> aExpected);

  /// Writes a key and acquires it for a session, unless another session holds
  /// it or the session does not exist.
  [[nodiscard]] bool Acquire(const std::string& aKey,
                             std::string aValue,
                             const std::string& aSession);

  /// Writes a key and releases it if the session holds it.
  [[nodiscard]] bool Release(const std::string& aKey,
                             std::string aValue,
                             const std::string& aSession);

  /// Creates a session and returns its id. A time to live of zero means that it
  /// never expires.
  [[nodiscard]] std::string CreateSession(std::chrono::milliseconds aTtl,
                                          clock::time_point aNow);

  /// Renews a session for its time to live; false if it does not exist.
  [[nodiscard]] bool RenewSession(const std::string& aSession,
                                  clock::time_point aNow);

  /// Destroys a session; returns the keys it released.
  std::vector<std::string> DestroySession(const std::string& aSession);

  /// Destroys expired sessions; returns the keys they released.
  std::vector<std::string> ExpireSessions(clock::time_point aNow);

private:
  struct session
  {
    std::chrono::milliseconds ttl{ 0 };
    clock::time_point expires;
  };

  stored_value& Write(const std::string& aKey, std::string aValue);

  std::uint64_t mIndex = 1;
  std::uint64_t mSessionCount = 0;
  absl::btree_map<std::string, stored_value> mValues;
  absl::flat_hash_map<std::string, session> mSessions;
};

} // namespace currantshed::standin

#endif

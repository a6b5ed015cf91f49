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
  /// How often a session has taken the key.
  std::uint64_t lockIndex = 0;
  /// The session that holds the key; empty where none does.
  std::string session;
};

/// Keys and sessions in memory. Every change takes the next index, one row of
/// numbers for the whole store. There is no lock delay: a key whose session
/// has ended can be taken at once, which is the harder case for its holder.
class store
{
public:
  /// The key, or null.
  [[nodiscard]] const stored_value* Find(const std::string& aKey) const;

  /// The index of the last change; never zero.
  [[nodiscard]] std::uint64_t Index() const noexcept;

  /// Writes a key, and only if its index is the given one where one is
  /// given; zero stands for a key that isn't there.
  [[nodiscard]] bool Put(const std::string& aKey,
                         std::string aValue,
                         std::optional<std::uint64_t> aExpected);

  /// Writes a key and takes it for a session, unless another one holds it or
  /// the session has ended.
  [[nodiscard]] bool Acquire(const std::string& aKey,
                             std::string aValue,
                             const std::string& aSession);

  /// Writes a key and gives it up, if the session holds it.
  [[nodiscard]] bool Release(const std::string& aKey,
                             std::string aValue,
                             const std::string& aSession);

  /// Opens a session and returns its id. Zero means that it never lapses.
  [[nodiscard]] std::string CreateSession(std::chrono::milliseconds aTtl,
                                          clock::time_point aNow);

  /// Extends a session by its time to live; false if there is none.
  [[nodiscard]] bool RenewSession(const std::string& aSession,
                                  clock::time_point aNow);

  /// Ends a session; returns the keys it gave up.
  std::vector<std::string> DestroySession(const std::string& aSession);

  /// Ends the sessions whose time has passed; returns the keys given up.
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

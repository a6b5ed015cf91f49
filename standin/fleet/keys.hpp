#ifndef CURRANTSHED_STANDIN_FLEET_KEYS_HPP
#define CURRANTSHED_STANDIN_FLEET_KEYS_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <boost/json.hpp>

namespace currantshed::standin::fleet {

/// The response to one call of the store.
struct key_answer
{
  unsigned status = 200;
  boost::json::object body;
  /// Replaces the body if not empty.
  std::string text = {};
};

/// The platform's key-value store, with leases and a change history.
class keys
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  void Put(const std::string& aKey,
           const std::string& aValue,
           std::uint64_t aLease = 0);
  void Remove(const std::string& aKey);

  [[nodiscard]] key_answer Get(const std::string& aKey) const;
  [[nodiscard]] key_answer Range(const std::string& aPrefix) const;
  /// Changes after a revision; status zero if there are none.
  [[nodiscard]] key_answer Changes(const std::string& aPrefix,
                                   std::uint64_t aAfter) const;
  [[nodiscard]] key_answer Commit(const boost::json::object& aTransaction);
  [[nodiscard]] key_answer GrantLease(std::int64_t aTtlMs, time_point aNow);
  [[nodiscard]] key_answer KeepAlive(std::uint64_t aLease, time_point aNow);
  void RevokeLease(std::uint64_t aLease);
  /// Revokes expired leases.
  void Expire(time_point aNow);

  /// Takes a snapshot of the store and removes expired snapshots.
  void TakeSnapshot(time_point aNow);

  /// Restores the newest snapshot of at least the given age. Later writes are
  /// lost, revisions and lease ids are assigned again, and the era increases.
  void Restore(std::chrono::milliseconds aAge, time_point aNow);

  [[nodiscard]] std::uint64_t Era() const { return mEra; }

private:
  struct entry
  {
    std::string value;
    std::uint64_t modRevision = 0;
    std::uint64_t lease = 0;
  };

  struct event
  {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
    entry content;
  };

  struct lease
  {
    std::chrono::milliseconds ttl{ 0 };
    time_point until;
  };

  struct state
  {
    std::map<std::string, entry> entries;
    std::map<std::uint64_t, lease> leases;
    std::uint64_t revision = 1;
    std::uint64_t lastLease = 0;
  };

  struct snapshot
  {
    time_point at;
    state contents;
  };

  [[nodiscard]] static boost::json::object ToJson(const std::string& aKey,
                                                  const entry& aEntry);

  state mState;
  std::vector<event> mHistory;
  std::deque<snapshot> mSnapshots;
  std::uint64_t mEra = 1;
};

} // namespace currantshed::standin::fleet

#endif

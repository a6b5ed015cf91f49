#ifndef CURRANTSHED_TEST_FAILOVER_FAKE_SERVERS_HPP
#define CURRANTSHED_TEST_FAILOVER_FAKE_SERVERS_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/upstream/status.hpp"

namespace currantshed::failover::test {

/// Record of a fake server's log.
struct fake_record
{
  position::term_id term = 0;
  std::uint64_t change = 0;

  [[nodiscard]] friend bool operator==(const fake_record&,
                                       const fake_record&) = default;
};

/// Database server reduced to its rules on terms and its log.
class fake_server
{
public:
  using time_point = clock::time_point;

  [[nodiscard]] upstream::server_status Status(time_point aNow) const
  {
    upstream::server_status status;
    status.term = term;
    status.role = role;
    status.stored = End();
    status.applied = status.stored;
    if (role == upstream::server_role::kReplica && follows) {
      status.sincePrimary =
        std::chrono::duration_cast<std::chrono::milliseconds>(aNow -
                                                              lastContactAt);
    }
    return status;
  }

  bool Fence(position::term_id aTerm)
  {
    if (aTerm <= term) {
      return false;
    }
    term = aTerm;
    role = upstream::server_role::kFenced;
    follows.reset();
    return true;
  }

  bool Promote(position::term_id aTerm)
  {
    if (aTerm != term || role != upstream::server_role::kFenced) {
      return false;
    }
    role = upstream::server_role::kPrimary;
    log.push_back({ term, 0 });
    return true;
  }

  bool Follow(position::term_id aTerm,
              const upstream::server_id& aPrimary,
              time_point aNow)
  {
    const bool leads = aTerm == term && role == upstream::server_role::kPrimary;
    if (aTerm < term || leads) {
      return false;
    }
    term = aTerm;
    role = upstream::server_role::kReplica;
    follows = aPrimary;
    lastContactAt = aNow;
    return true;
  }

  bool Write(std::uint64_t aChange)
  {
    if (role != upstream::server_role::kPrimary) {
      return false;
    }
    log.push_back({ term, aChange });
    return true;
  }

  [[nodiscard]] position::log_position End() const
  {
    return { log.empty() ? 0 : log.back().term, log.size() };
  }

  [[nodiscard]] bool Holds(const fake_record& aRecord) const
  {
    // Terms never decrease along a log.
    const auto found =
      std::find_if(log.rbegin(), log.rend(), [&](const auto& aOwn) {
        return aOwn == aRecord || aOwn.term < aRecord.term;
      });
    return found != log.rend() && *found == aRecord;
  }

  position::term_id term = 1;
  upstream::server_role role = upstream::server_role::kReplica;
  std::vector<fake_record> log{ { 1, 0 } };
  std::optional<upstream::server_id> follows;
  time_point lastContactAt;
  bool alive = true;
  /// Replication to this server is stopped; it still hears from the primary.
  bool lagging = false;
};

/// Servers of a group and the connectivity between all parties.
class fake_servers
{
public:
  /// Servers s0, s1 and so on; s0 is the primary of term 1.
  explicit fake_servers(unsigned aCount)
  {
    for (unsigned server = 0; server < aCount; ++server) {
      auto& made = mServers["s" + std::to_string(server)];
      made.follows = "s0";
    }
    auto& primary = mServers.at("s0");
    primary.role = upstream::server_role::kPrimary;
    primary.follows.reset();
  }

  [[nodiscard]] fake_server& At(const upstream::server_id& aServer)
  {
    return mServers.at(aServer);
  }

  [[nodiscard]] std::map<upstream::server_id, fake_server>& All()
  {
    return mServers;
  }

  void Cut(const std::string& aLeft, const std::string& aRight)
  {
    mCuts.insert(std::minmax(aLeft, aRight));
  }

  void Heal(const std::string& aLeft, const std::string& aRight)
  {
    mCuts.erase(std::minmax(aLeft, aRight));
  }

  void HealAll() { mCuts.clear(); }

  [[nodiscard]] bool IsConnected(const std::string& aLeft,
                                 const std::string& aRight) const
  {
    return !mCuts.contains(std::minmax(aLeft, aRight));
  }

  /// Copies the log of the primary to every replica that follows it.
  void Replicate(clock::time_point aNow)
  {
    for (auto& [id, server] : mServers) {
      if (!server.alive || !server.follows ||
          !IsConnected(id, *server.follows)) {
        continue;
      }
      const auto& primary = mServers.at(*server.follows);
      if (!primary.alive || primary.term != server.term ||
          primary.role != upstream::server_role::kPrimary) {
        continue;
      }
      server.lastContactAt = aNow;
      if (!server.lagging && server.End() != primary.End()) {
        server.log = primary.log;
      }
    }
  }

  /// Number of servers reachable from the asker that are in the term and hold
  /// the record.
  [[nodiscard]] std::size_t CountHolders(const std::string& aAsker,
                                         const fake_record& aRecord) const
  {
    const auto holders =
      std::count_if(mServers.begin(), mServers.end(), [&](const auto& aEntry) {
        const auto& server = aEntry.second;
        return server.alive && IsConnected(aAsker, aEntry.first) &&
               server.term == aRecord.term && server.Holds(aRecord);
      });
    return static_cast<std::size_t>(holders);
  }

private:
  std::map<upstream::server_id, fake_server> mServers;
  std::set<std::pair<std::string, std::string>> mCuts;
};

} // namespace currantshed::failover::test

#endif

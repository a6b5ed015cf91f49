#ifndef CURRANTSHED_TEST_MATRIX_SERVERS_HPP
#define CURRANTSHED_TEST_MATRIX_SERVERS_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "currantshed/group/description.hpp"
#include "currantshed/upstream/dialect.hpp"
#include "test/currantshed/group/fake_server.hpp"
#include "test/matrix/history.hpp"
#include "test/matrix/timeline.hpp"

namespace currantshed::matrix {

/// A simulated database server: its log, its term, and whether it runs.
struct server : test::fake_server
{
  /// Time of the last message from the primary that it follows.
  clock::time_point lastContactAt;
  bool alive = true;
  /// Incremented when the server restarts; connections of earlier incarnations
  /// are closed.
  unsigned startCount = 1;
};

/// The server's end of one connection.
struct server_session
{
  upstream::server_id server;
  bool readOnly = false;
  unsigned startCount = 1;
  std::optional<test::fake_transaction> transaction;
};

/// The three servers of one group, which behave as the project requires of its
/// upstreams, and the links between all parties. Callers' statements are `add
/// VALUE`, `list` and `echo TEXT`.
class server_group
{
public:
  server_group(timeline& aTimeline, history& aSeen);

  [[nodiscard]] server& At(const upstream::server_id& aServer);
  [[nodiscard]] const group::description& Description() const noexcept;
  void SetLeaving(const upstream::server_id& aServer, clock::duration aGrace);

  /// The live primary with the highest term, or null.
  [[nodiscard]] server* Primary();
  [[nodiscard]] upstream::server_id PrimaryId();
  /// The first server that is not the primary.
  [[nodiscard]] upstream::server_id ReplicaId();
  [[nodiscard]] std::vector<upstream::server_id> Ids() const;

  [[nodiscard]] upstream::server_status Status(
    const upstream::server_id& aServer);
  [[nodiscard]] bool Fence(const upstream::server_id& aServer,
                           position::term_id aTerm);
  [[nodiscard]] bool Promote(const upstream::server_id& aServer,
                             position::term_id aTerm);
  [[nodiscard]] bool Follow(const upstream::server_id& aServer,
                            position::term_id aTerm,
                            const upstream::server_id& aPrimary);

  /// Runs a batch of statements on a connection.
  [[nodiscard]] upstream::reply Run(
    server_session& aSession,
    const std::vector<upstream::statement>& aStatements);

  void Cut(const std::string& aLeft, const std::string& aRight);
  void Heal(const std::string& aLeft, const std::string& aRight);
  void HealAll();
  [[nodiscard]] bool Linked(const std::string& aLeft,
                            const std::string& aRight) const;

  /// Records the servers' final state in the history.
  void Finish();

private:
  [[nodiscard]] std::optional<upstream::result_set> RunOne(
    server_session& aSession,
    const upstream::statement& aStatement,
    std::string& aSqlState);
  [[nodiscard]] std::optional<upstream::result_set> Change(
    server_session& aSession,
    const upstream::statement& aStatement,
    std::string& aSqlState);
  [[nodiscard]] std::string Commit(server_session& aSession);
  void Replicate();
  void Replicate(const upstream::server_id& aPrimary);
  void CopyLog(const server& aPrimary, server& aReplica) const;

  timeline& mTimeline;
  history& mSeen;
  std::unique_ptr<upstream::dialect> mDialect;
  group::description mDescription;
  std::map<upstream::server_id, server> mServers;
  std::set<std::pair<std::string, std::string>> mCuts;
};

} // namespace currantshed::matrix

#endif

#ifndef CURRANTSHED_TEST_GROUP_FAKE_GROUP_HPP
#define CURRANTSHED_TEST_GROUP_FAKE_GROUP_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/group/engine.hpp"
#include "currantshed/upstream/dialect.hpp"

namespace currantshed::test {

/// One record of a fake server's log: a committed transaction.
struct fake_record
{
  position::term_id term = 0;
  /// Values that the transaction added, in the order of its statements.
  std::vector<std::string> values;
  /// Key of the outcome that it recorded; empty for a record that opens a
  /// term or that notes nothing.
  std::string key;
  std::string state;
  std::string digest;
};

/// An open transaction on one connection.
struct fake_transaction
{
  bool readOnly = false;
  bool failed = false;
  bool changed = false;
  position::term_id term = 0;
  fake_record record;
  /// For a read-only one, how much of the log it sees.
  std::optional<std::size_t> sees;
};

/// A server in memory: its log, its term and role, and faults to order.
struct fake_server
{
  position::term_id term = 1;
  upstream::server_role role = upstream::server_role::kReplica;
  std::vector<fake_record> log;
  /// The primary that it follows, if it is a replica.
  upstream::server_id following;
  /// How many records of the log statements see.
  std::size_t applied = 0;
  /// Whether messages to and from it are lost.
  bool cut = false;
  /// Whether records to and from it are lost, and nothing else.
  bool isolated = false;
  /// Whether it takes messages but does nothing until thawed.
  bool frozen = false;
  /// Whether it refuses connections.
  bool refusing = false;
  /// Whether it takes no records from its primary.
  bool lagging = false;
  /// Whether it stores records but doesn't show them.
  bool applyPaused = false;
  /// Tears the answer to the next batch of callers, after its effect.
  bool tearNextReply = false;
  /// Drops the next batch of callers before its effect, and tears the answer.
  bool tearNextBatch = false;
  /// A torn answer also says that it was too large.
  bool oversize = false;
  /// Statements that it was sent by callers, for checks of who ran what.
  std::vector<std::string> ran;
  /// Batches that waited while it was frozen.
  std::vector<std::function<void()>> held;
  unsigned connections = 0;
  unsigned mostConnections = 0;
  unsigned running = 0;
  unsigned mostRunning = 0;

  [[nodiscard]] position::log_position Stored() const;
  [[nodiscard]] position::log_position Applied() const;
};

/// A group of servers in memory around one engine, in virtual time. Actions
/// of the engine are done at once and their results come after one link
/// delay each way. Callers' statements are `add VALUE`, which adds a value,
/// `list`, which returns all values, and `fail`, which is refused.
class fake_group
{
public:
  explicit fake_group(const group::engine_settings& aSettings = {},
                      std::size_t aServers = 3,
                      unsigned aSlots = 2,
                      unsigned aConnections = 16);

  /// Lets the time pass, with all that happens in it.
  void Run(std::chrono::milliseconds aTime);

  /// Submits a request with the next number, and gives the number.
  group::request_id Submit(group::request aRequest);

  /// The answer to a request; none while there is none.
  [[nodiscard]] const group::answer* Answer(group::request_id aRequest) const;

  /// Runs until the request is answered, at most for the time given.
  [[nodiscard]] const group::answer* Wait(group::request_id aRequest,
                                          std::chrono::milliseconds aMost);

  /// Submits a request and waits for its answer.
  [[nodiscard]] group::answer Call(group::request aRequest);

  /// Makes a server the primary of the next term, with the term accepted by
  /// those listed, as a failover does.
  void Promote(const upstream::server_id& aServer,
               const std::vector<upstream::server_id>& aFenced);

  /// Does what a fence does at one server.
  void Fence(const upstream::server_id& aServer, position::term_id aTerm);

  /// Ends a server's freeze: what waited in it runs.
  void Thaw(const upstream::server_id& aServer);

  void SetLeaving(const upstream::server_id& aServer, bool aLeaving);

  [[nodiscard]] fake_server& Server(const upstream::server_id& aServer);
  [[nodiscard]] group::engine& Engine();
  [[nodiscard]] clock::time_point Now() const;
  [[nodiscard]] clock::wall_time WallNow() const;

  /// Requests and keys of the usual kinds, with a deadline of 2 s.
  [[nodiscard]] group::request Read(std::chrono::milliseconds aMaxStaleness);
  [[nodiscard]] group::request Write(const std::string& aValue,
                                     bool aRepeatable = false);
  [[nodiscard]] group::request In(group::operation aKind,
                                  group::transaction_id aTransaction,
                                  const std::string& aSql = "");
  [[nodiscard]] outcome::idempotency_key NextKey();

  /// Values that a majority's common history holds, in order: the primary's
  /// of the highest term.
  [[nodiscard]] std::vector<std::string> Values();

  /// Time that a message takes one way.
  std::chrono::microseconds linkDelay{ 500 };
  /// Time that a batch takes at its server.
  std::chrono::microseconds batchTime{ 200 };
  /// Time that a record takes to a replica.
  std::chrono::microseconds replicationDelay{ 300 };

private:
  struct connection
  {
    upstream::server_id server;
    bool open = false;
    bool readOnly = false;
    std::optional<fake_transaction> transaction;
  };

  using event = std::function<void()>;

  void At(clock::time_point aTime, event aEvent);
  void Perform();
  void Perform(const group::action& aAction);
  void Open(const group::open_connection& aAction);
  void Close(group::connection_id aConnection);
  void RunBatch(const group::run_batch& aAction);
  void Execute(const group::run_batch& aAction, const connection& aConnection);
  [[nodiscard]] upstream::reply ReplyTo(
    connection& aConnection,
    const std::vector<upstream::statement>& aStatements);
  [[nodiscard]] std::optional<upstream::result_set> RunStatement(
    connection& aConnection,
    const upstream::statement& aStatement,
    std::string& aSqlState);
  [[nodiscard]] std::string Commit(connection& aConnection);
  [[nodiscard]] upstream::result_set List(const connection& aConnection);
  void Ask(const upstream::server_id& aServer);
  void Replicate();
  void Replicate(const upstream::server_id& aPrimary);
  [[nodiscard]] static upstream::server_status StatusOf(
    const fake_server& aServer);

  std::unique_ptr<group::engine> mEngine;
  std::unique_ptr<upstream::dialect> mDialect;
  group::description mDescription;
  std::map<upstream::server_id, fake_server> mServers;
  std::map<group::connection_id, connection> mConnections;
  std::multimap<clock::time_point, event> mEvents;
  std::map<group::request_id, group::answer> mAnswers;
  clock::time_point mNow;
  group::request_id mLastRequest = 0;
  std::uint64_t mLastKey = 0;
};

} // namespace currantshed::test

#endif

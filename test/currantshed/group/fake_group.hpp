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
#include "test/currantshed/group/fake_server.hpp"

namespace currantshed::test {

/// In-memory group of servers around one engine, in virtual time. Actions of
/// the engine are executed at once; their results arrive after one link delay
/// each way. Callers' statements are `add VALUE`, which adds a value, `list`,
/// which returns all values, and `fail`, which is refused.
class fake_group
{
public:
  explicit fake_group(const group::engine_settings& aSettings = {},
                      std::size_t aServers = 3,
                      unsigned aSlots = 2,
                      unsigned aConnections = 16);

  /// Advances the time and processes all events in it.
  void Run(std::chrono::milliseconds aTime);

  /// Submits a request under the next identifier and returns it.
  group::request_id Submit(group::request aRequest);

  /// Answer to a request; null while there is none.
  [[nodiscard]] const group::answer* Answer(group::request_id aRequest) const;

  /// Runs until the request is answered or the timeout has passed.
  [[nodiscard]] const group::answer* Wait(group::request_id aRequest,
                                          std::chrono::milliseconds aTimeout);

  /// Submits a request and waits for its answer.
  [[nodiscard]] group::answer Call(group::request aRequest);

  /// Makes a server the primary of the next term, accepted by the listed
  /// servers, as a failover does.
  void Promote(const upstream::server_id& aServer,
               const std::vector<upstream::server_id>& aFenced);

  /// Fences one server at the term.
  void Fence(const upstream::server_id& aServer, position::term_id aTerm);

  /// Unfreezes a server; batches that waited in it run.
  void Thaw(const upstream::server_id& aServer);

  void SetLeaving(const upstream::server_id& aServer, bool aLeaving);

  void SetTransactionLimit(std::chrono::milliseconds aLimit);

  /// Lists a server at another port, as after a move.
  void Move(const upstream::server_id& aServer);

  /// Removes a server from the list that the engine gets.
  void Drop(const upstream::server_id& aServer);

  /// Breaks all statement connections to a server, as a restart does.
  void LoseConnections(const upstream::server_id& aServer);

  [[nodiscard]] fake_server& Server(const upstream::server_id& aServer);
  [[nodiscard]] group::engine& Engine();
  [[nodiscard]] clock::time_point Now() const;
  [[nodiscard]] clock::wall_time WallNow() const;

  /// Typical requests and keys, with a deadline of 2 s.
  [[nodiscard]] group::request Read(std::chrono::milliseconds aMaxStaleness);
  [[nodiscard]] group::request Write(const std::string& aValue,
                                     bool aRepeatable = false);
  [[nodiscard]] group::request In(group::operation aKind,
                                  group::transaction_id aTransaction,
                                  const std::string& aSql = "");
  [[nodiscard]] outcome::idempotency_key NextKey();

  /// Values of the primary of the highest term, in order.
  [[nodiscard]] std::vector<std::string> Values();

  /// One-way latency of a message.
  std::chrono::microseconds linkDelay{ 500 };
  /// Processing time of a batch at its server.
  std::chrono::microseconds batchTime{ 200 };
  /// Time until a record reaches a replica.
  std::chrono::microseconds replicationDelay{ 300 };

private:
  using event = std::function<void()>;

  void At(clock::time_point aTime, event aEvent);
  void Perform();
  void Perform(const group::action& aAction);
  void Open(const group::open_connection& aAction);
  void Close(group::connection_id aConnection);
  void RunBatch(const group::run_batch& aAction);
  void Execute(const group::run_batch& aAction,
               const fake_connection& aConnection);
  void RequestStatus(const upstream::server_id& aServer);
  void Replicate();
  void Replicate(const upstream::server_id& aPrimary);
  std::unique_ptr<group::engine> mEngine;
  group::description mDescription;
  std::map<upstream::server_id, fake_server> mServers;
  std::map<group::connection_id, fake_connection> mConnections;
  std::multimap<clock::time_point, event> mEvents;
  std::map<group::request_id, group::answer> mAnswers;
  clock::time_point mNow;
  group::request_id mLastRequest = 0;
  std::uint64_t mLastKey = 0;
};

} // namespace currantshed::test

#endif

#ifndef CURRANTSHED_TEST_GATEWAY_ENGINE_FIXTURE_HPP
#define CURRANTSHED_TEST_GATEWAY_ENGINE_FIXTURE_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "currantshed/gateway/engine.hpp"
#include "currantshed/session/key_ring.hpp"
#include "currantshed/session/position_vector.hpp"

namespace currantshed::gateway::test {

inline constexpr const char* kKeys = "a:000102030405060708090a0b0c0d0e0f";
inline constexpr const char* kOtherKeys = "a:ff0102030405060708090a0b0c0d0e0f";
inline constexpr const char* kGroup = "claims";
inline constexpr std::uint64_t kVersion = 7;

[[nodiscard]] session::key_ring
Ring(const char* aText = kKeys);

/// Four VMs in four failure domains, two groups, three owners per group.
[[nodiscard]] fleet_view
SampleView();

/// Classes `lookup` (reads), `report` (writes), `draft` (repeatable writes) and
/// `planning` (writes to another group only).
[[nodiscard]] class_rules
SampleConfiguration(std::uint64_t aVersion = kVersion);

[[nodiscard]] outcome::idempotency_key
GeneratedKey(std::uint64_t aNumber);

/// A valid call of the class.
[[nodiscard]] caller_request
Call(const char* aClass, call_kind aKind = call_kind::kStatements);

[[nodiscard]] std::string
TransactionId(const std::string& aVm);

[[nodiscard]] group::answer
Answer(outcome::verdict aVerdict,
       outcome::reason aWhy = outcome::reason::kNone);

[[nodiscard]] session::position_vector
Seen(const char* aGroup, position::log_position aPosition);

/// An engine with a simulated clock and a log of its actions: requests sent as
/// "operation@rank", cancellations as "cancel@rank", responses as "verdict".
class engine_fixture
{
public:
  engine_fixture();

  [[nodiscard]] request_engine& Engine() { return *mEngine; }

  void Submit(caller_request aRequest);
  void Reply(group::answer aAnswer);
  void Advance(std::chrono::milliseconds aTime);
  /// Moves the engine's actions into the log.
  void CollectActions();

  clock::time_point now{ std::chrono::seconds(100) };
  /// The last request that was sent.
  send_to_pooler sent;
  /// The last response.
  give_answer given;
  unsigned answers = 0;
  std::string log;
  /// VMs that own the group, in rank order.
  std::vector<std::string> owners;

private:
  void Log(const std::string& aText);
  [[nodiscard]] std::string Rank(const std::string& aVm) const;

  std::unique_ptr<request_engine> mEngine;
  request_number mNumber = 0;
};

} // namespace currantshed::gateway::test

#endif

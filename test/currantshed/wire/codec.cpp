#include "currantshed/wire/codec.hpp"

#include <chrono>
#include <limits>
#include <string>
#include <variant>
#include <vector>

#include "currantshed/wire/errors.hpp"
#include "currantshed/wire/messages.pb.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace clk = currantshed::clock;
namespace group = currantshed::group;
namespace member = currantshed::member;
namespace outcome = currantshed::outcome;
namespace store = currantshed::store;
namespace policy = currantshed::policy;
namespace upstream = currantshed::upstream;
namespace wire = currantshed::wire;

namespace {

constexpr clk::time_point kNow{ 1000s };

/// A 16-byte UUID with the given version and the RFC 4122 variant.
std::string
KeyBytes(char aVersion)
{
  constexpr std::size_t kBytes = 16;
  constexpr std::size_t kVersionPlace = 6;
  constexpr std::size_t kVariantPlace = 8;
  std::string bytes(kBytes, '\1');
  bytes[kVersionPlace] = static_cast<char>(aVersion << 4);
  bytes[kVariantPlace] = static_cast<char>(0x80);
  return bytes;
}

wire::group_request
WholeRequest()
{
  wire::group_request whole;
  whole.group = "claimsbook-1";
  whole.transactionIncarnation = "vm-1/7";
  group::request& request = whole.request;
  request.id = 42;
  request.kind = group::operation::kCommit;
  request.work.name = "theft-report";
  request.work.kind = policy::access::kWrite;
  request.work.servedIn = { "bamberg-hall", "bayreuth-room" };
  request.work.maxStaleness = 1500ms;
  request.work.repeatable = true;
  request.statements = { { "SELECT $1, $2", { "a", std::nullopt } },
                         { "", {} } };
  request.key = *outcome::idempotency_key::FromBytes(KeyBytes(7));
  request.floor = { 3, 99 };
  request.fresh = true;
  request.deadline = kNow + 250ms;
  request.transaction = 17;
  request.position = { 4, 101 };
  return whole;
}

wire::group_answer
WholeAnswer()
{
  wire::group_answer whole;
  whole.incarnation = "vm-1/7";
  group::answer& answer = whole.answer;
  answer.request = 42;
  answer.verdict = outcome::verdict::kNotRun;
  answer.why = outcome::reason::kOverloaded;
  answer.retryAfter = 120ms;
  answer.results = { { { "a", "b" }, { "1", std::nullopt, "", "x\0y" }, 3 } };
  answer.position = { 4, 101 };
  answer.transaction = 17;
  answer.servedBy = "claimsbook-1-b";
  answer.failureDomain = "coburg-depot";
  answer.byReplica = true;
  answer.repeated = true;
  answer.sqlState = "23505";
  answer.message = "refused";
  return whole;
}

store::vm
WholeVm()
{
  return { "vm-1", "127.0.0.1", "abdali", 1, 65535, 3, true };
}

member::heartbeat
WholeHeartbeat()
{
  return { WholeVm(),
           "vm-1/7",
           9,
           12,
           { WholeVm() },
           { { "planner-1", 3, "planner-1-a" } },
           { { "planner-2", 4, "planner-2-b" } },
           true,
           { { "vm-2", "vm-2/3" } } };
}

wire::configuration
WholeConfiguration()
{
  const group::member server{ "planner-1-a", "127.0.0.1", 65535,
                              "abdali",      5,           55,
                              true };
  return { 4, "classes: []", { WholeVm() }, { { "planner-1", { server } } } };
}

struct round_row
{
  const char* name;
  wire::message message;
};

std::vector<round_row>
RoundRows()
{
  return {
    { "request", WholeRequest() },
    { "request with nothing set", wire::group_request{} },
    { "cancel", wire::cancel_request{ 42 } },
    { "answer", WholeAnswer() },
    { "answer with nothing set", wire::group_answer{} },
    { "subscription", wire::subscribe_request{ 3, 4 } },
    { "view", wire::view{ 3, { WholeVm() }, { "g" }, 3, 12, "classes: []" } },
    { "heartbeat", WholeHeartbeat() },
    { "question for a configuration", wire::configuration_request{ 3 } },
    { "configuration", WholeConfiguration() },
  };
}

struct garbage_row
{
  const char* name;
  std::string bytes;
  wire::wire_errc expected;
};

template<typename Change>
std::string
Changed(const wire::message& aMessage, Change aChange)
{
  wire::Envelope envelope;
  envelope.ParseFromString(wire::Encode(aMessage, kNow));
  aChange(envelope);
  return envelope.SerializeAsString();
}

std::string
BrokenRequest(void (*aChange)(wire::GroupRequest&))
{
  return Changed(WholeRequest(), [aChange](wire::Envelope& aEnvelope) {
    aChange(*aEnvelope.mutable_request());
  });
}

std::vector<garbage_row>
GarbageRows()
{
  const std::string whole = wire::Encode(WholeRequest(), kNow);
  return {
    { "nothing", "", wire::wire_errc::kMalformed },
    { "no protobuf", "\xff\xff\xff\xff\xff", wire::wire_errc::kMalformed },
    { "text", "GET / HTTP/1.1\r\n\r\n", wire::wire_errc::kMalformed },
    { "zero bytes", std::string(64, '\0'), wire::wire_errc::kMalformed },
    { "cut in the middle",
      whole.substr(0, whole.size() / 2),
      wire::wire_errc::kMalformed },
    { "over the bound",
      std::string(wire::kMaxMessageBytes + 1, '\0'),
      wire::wire_errc::kTooLarge },
    { "operation of the future",
      BrokenRequest([](wire::GroupRequest& aRequest) {
        aRequest.set_operation(static_cast<wire::Operation>(8));
      }),
      wire::wire_errc::kOutOfRange },
    { "operation below zero",
      BrokenRequest([](wire::GroupRequest& aRequest) {
        aRequest.set_operation(static_cast<wire::Operation>(-1));
      }),
      wire::wire_errc::kOutOfRange },
    { "short key",
      BrokenRequest(
        [](wire::GroupRequest& aRequest) { aRequest.set_key("short"); }),
      wire::wire_errc::kInvalidKey },
    { "key of version 4",
      BrokenRequest(
        [](wire::GroupRequest& aRequest) { aRequest.set_key(KeyBytes(4)); }),
      wire::wire_errc::kInvalidKey },
    { "too many statements",
      BrokenRequest([](wire::GroupRequest& aRequest) {
        for (int count = 0; count <= wire::kMaxStatements; ++count) {
          aRequest.add_statements();
        }
      }),
      wire::wire_errc::kTooLarge },
    { "verdict of the future",
      Changed(WholeAnswer(),
              [](wire::Envelope& aEnvelope) {
                aEnvelope.mutable_answer()->set_verdict(4);
              }),
      wire::wire_errc::kOutOfRange },
    { "reason of the future",
      Changed(WholeAnswer(),
              [](wire::Envelope& aEnvelope) {
                aEnvelope.mutable_answer()->set_reason(16);
              }),
      wire::wire_errc::kOutOfRange },
    { "row that is not whole",
      Changed(WholeAnswer(),
              [](wire::Envelope& aEnvelope) {
                aEnvelope.mutable_answer()->mutable_results(0)->add_cells();
              }),
      wire::wire_errc::kMalformed },
    { "port that is none",
      Changed(WholeHeartbeat(),
              [](wire::Envelope& aEnvelope) {
                aEnvelope.mutable_heartbeat()->mutable_sender()->set_peer_port(
                  65536);
              }),
      wire::wire_errc::kOutOfRange },
    { "server at a port that is none",
      Changed(WholeConfiguration(),
              [](wire::Envelope& aEnvelope) {
                auto* group =
                  aEnvelope.mutable_configuration()->mutable_groups(0);
                group->mutable_servers(0)->set_port(65536);
              }),
      wire::wire_errc::kOutOfRange },
    { "heartbeat of nobody",
      Changed(WholeHeartbeat(),
              [](wire::Envelope& aEnvelope) {
                aEnvelope.mutable_heartbeat()->clear_sender();
              }),
      wire::wire_errc::kMalformed },
  };
}

struct budget_row
{
  const char* name;
  clk::duration given;
  clk::duration expected;
};

constexpr budget_row kBudgetRows[] = {
  { "time left is kept", 250ms, 250ms },
  { "a deadline that has passed is now", -5s, 0s },
  { "time left is bounded", 100h, wire::kMaxTimeout },
};

} // namespace

TEST_GROUP(codec){};

TEST(codec, every_message_comes_back_whole)
{
  for (const auto& row : RoundRows()) {
    const std::string bytes = wire::Encode(row.message, kNow);
    const wire::decoded back = wire::Decode(bytes, kNow);
    CHECK_TEXT(!back.error, row.name);
    CHECK_EQUAL_TEXT(row.message.index(), back.body.index(), row.name);
    CHECK_TEXT(bytes == wire::Encode(back.body, kNow), row.name);
  }
}

TEST(codec, core_types_come_back_whole)
{
  const auto request = std::get<wire::group_request>(
    wire::Decode(wire::Encode(WholeRequest(), kNow), kNow).body);
  CHECK(request.request.key == WholeRequest().request.key);
  CHECK(request.request.deadline == WholeRequest().request.deadline);
  CHECK(request.request.work.maxStaleness == 1500ms);
  CHECK(request.request.statements[0].parameters[1] == std::nullopt);
  CHECK(request.request.kind == group::operation::kCommit);
  const auto answer = std::get<wire::group_answer>(
    wire::Decode(wire::Encode(WholeAnswer()), kNow).body);
  CHECK(answer.answer.results[0].cells ==
        WholeAnswer().answer.results[0].cells);
  CHECK(answer.answer.verdict == outcome::verdict::kNotRun);
  CHECK(answer.answer.why == outcome::reason::kOverloaded);
  const auto beat = std::get<member::heartbeat>(
    wire::Decode(wire::Encode(WholeHeartbeat(), kNow), kNow).body);
  CHECK(beat.sender == WholeVm());
  CHECK(beat.peerSample == std::vector{ WholeVm() });
  CHECK(beat.answer);
  CHECK(beat.lost == WholeHeartbeat().lost);
  const auto configuration = std::get<wire::configuration>(
    wire::Decode(wire::Encode(WholeConfiguration(), kNow), kNow).body);
  CHECK(configuration == WholeConfiguration());
}

TEST(codec, garbage_is_a_typed_error)
{
  for (const auto& row : GarbageRows()) {
    const wire::decoded back = wire::Decode(row.bytes, kNow);
    CHECK_TEXT(back.error == make_error_code(row.expected), row.name);
  }
}

TEST(codec, every_cut_and_every_flipped_byte_is_taken_or_refused)
{
  const std::string whole = wire::Encode(WholeAnswer());
  for (std::size_t place = 0; place < whole.size(); ++place) {
    std::string flipped = whole;
    flipped[place] = static_cast<char>(~flipped[place]);
    (void)wire::Decode(flipped, kNow);
    (void)wire::Decode(whole.substr(0, place), kNow);
  }
}

TEST(codec, time_left)
{
  for (const auto& row : kBudgetRows) {
    wire::group_request request;
    request.request.deadline = kNow + row.given;
    const auto back = wire::Decode(wire::Encode(request, kNow), kNow);
    const auto& taken = std::get<wire::group_request>(back.body);
    CHECK_TEXT(taken.request.deadline == kNow + row.expected, row.name);
  }
}

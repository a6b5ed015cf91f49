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
  constexpr std::size_t kVersionOffset = 6;
  constexpr std::size_t kVariantOffset = 8;
  std::string bytes(kBytes, '\1');
  bytes[kVersionOffset] = static_cast<char>(aVersion << 4);
  bytes[kVariantOffset] = static_cast<char>(0x80);
  return bytes;
}

wire::group_request
FullRequest()
{
  wire::group_request full;
  full.group = "claimsbook-1";
  full.transactionIncarnation = "vm-1/7";
  group::request& request = full.request;
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
  return full;
}

wire::group_answer
FullAnswer()
{
  wire::group_answer full;
  full.incarnation = "vm-1/7";
  group::answer& answer = full.answer;
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
  return full;
}

store::vm
FullVm()
{
  return { "vm-1", "127.0.0.1", "abdali", 1, 65535, 3, true };
}

member::heartbeat
FullHeartbeat()
{
  return { FullVm(),
           "vm-1/7",
           9,
           12,
           { FullVm() },
           { { "planner-1", 3, "planner-1-a" } },
           { { "planner-2", 4, "planner-2-b" } },
           true,
           { { "vm-2", "vm-2/3" } } };
}

wire::configuration
FullConfiguration()
{
  const group::member server{ "planner-1-a", "127.0.0.1", 65535,
                              "abdali",      5,           55,
                              true };
  return { 4, "classes: []", { FullVm() }, { { "planner-1", { server } } } };
}

struct round_trip_row
{
  const char* name;
  wire::message message;
};

std::vector<round_trip_row>
RoundTripRows()
{
  return {
    { "request", FullRequest() },
    { "request with default values", wire::group_request{} },
    { "cancel", wire::cancel_request{ 42 } },
    { "answer", FullAnswer() },
    { "answer with default values", wire::group_answer{} },
    { "subscription", wire::subscribe_request{ 3, 4 } },
    { "view", wire::view{ 3, { FullVm() }, { "g" }, 3, 12, "classes: []" } },
    { "heartbeat", FullHeartbeat() },
    { "configuration request", wire::configuration_request{ 3 } },
    { "configuration", FullConfiguration() },
  };
}

struct invalid_row
{
  const char* name;
  std::string bytes;
  wire::wire_errc expected;
};

template<typename Change>
std::string
Modified(const wire::message& aMessage, Change aChange)
{
  wire::Envelope envelope;
  envelope.ParseFromString(wire::Encode(aMessage, kNow));
  aChange(envelope);
  return envelope.SerializeAsString();
}

std::string
ModifiedRequest(void (*aChange)(wire::GroupRequest&))
{
  return Modified(FullRequest(), [aChange](wire::Envelope& aEnvelope) {
    aChange(*aEnvelope.mutable_request());
  });
}

std::vector<invalid_row>
InvalidRows()
{
  const std::string full = wire::Encode(FullRequest(), kNow);
  return {
    { "nothing", "", wire::wire_errc::kMalformed },
    { "not protobuf", "\xff\xff\xff\xff\xff", wire::wire_errc::kMalformed },
    { "text", "GET / HTTP/1.1\r\n\r\n", wire::wire_errc::kMalformed },
    { "zero bytes", std::string(64, '\0'), wire::wire_errc::kMalformed },
    { "truncated in the middle",
      full.substr(0, full.size() / 2),
      wire::wire_errc::kMalformed },
    { "over the size limit",
      std::string(wire::kMaxMessageBytes + 1, '\0'),
      wire::wire_errc::kTooLarge },
    { "unknown operation",
      ModifiedRequest([](wire::GroupRequest& aRequest) {
        aRequest.set_operation(static_cast<wire::Operation>(8));
      }),
      wire::wire_errc::kOutOfRange },
    { "negative operation",
      ModifiedRequest([](wire::GroupRequest& aRequest) {
        aRequest.set_operation(static_cast<wire::Operation>(-1));
      }),
      wire::wire_errc::kOutOfRange },
    { "short key",
      ModifiedRequest(
        [](wire::GroupRequest& aRequest) { aRequest.set_key("short"); }),
      wire::wire_errc::kInvalidKey },
    { "key of version 4",
      ModifiedRequest(
        [](wire::GroupRequest& aRequest) { aRequest.set_key(KeyBytes(4)); }),
      wire::wire_errc::kInvalidKey },
    { "too many statements",
      ModifiedRequest([](wire::GroupRequest& aRequest) {
        for (int count = 0; count <= wire::kMaxStatements; ++count) {
          aRequest.add_statements();
        }
      }),
      wire::wire_errc::kTooLarge },
    { "unknown verdict",
      Modified(FullAnswer(),
               [](wire::Envelope& aEnvelope) {
                 aEnvelope.mutable_answer()->set_verdict(4);
               }),
      wire::wire_errc::kOutOfRange },
    { "unknown reason",
      Modified(FullAnswer(),
               [](wire::Envelope& aEnvelope) {
                 aEnvelope.mutable_answer()->set_reason(16);
               }),
      wire::wire_errc::kOutOfRange },
    { "incomplete row",
      Modified(FullAnswer(),
               [](wire::Envelope& aEnvelope) {
                 aEnvelope.mutable_answer()->mutable_results(0)->add_cells();
               }),
      wire::wire_errc::kMalformed },
    { "port out of range",
      Modified(FullHeartbeat(),
               [](wire::Envelope& aEnvelope) {
                 aEnvelope.mutable_heartbeat()->mutable_sender()->set_peer_port(
                   65536);
               }),
      wire::wire_errc::kOutOfRange },
    { "server port out of range",
      Modified(FullConfiguration(),
               [](wire::Envelope& aEnvelope) {
                 auto* group =
                   aEnvelope.mutable_configuration()->mutable_groups(0);
                 group->mutable_servers(0)->set_port(65536);
               }),
      wire::wire_errc::kOutOfRange },
    { "heartbeat without sender",
      Modified(FullHeartbeat(),
               [](wire::Envelope& aEnvelope) {
                 aEnvelope.mutable_heartbeat()->clear_sender();
               }),
      wire::wire_errc::kMalformed },
  };
}

struct timeout_row
{
  const char* name;
  clk::duration given;
  clk::duration expected;
};

constexpr timeout_row kTimeoutRows[] = {
  { "time left is preserved", 250ms, 250ms },
  { "a past deadline becomes the current time", -5s, 0s },
  { "time left is bounded", 100h, wire::kMaxTimeout },
};

} // namespace

TEST_GROUP(codec){};

TEST(codec, every_message_comes_back_whole)
{
  for (const auto& row : RoundTripRows()) {
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
    wire::Decode(wire::Encode(FullRequest(), kNow), kNow).body);
  CHECK(request.request.key == FullRequest().request.key);
  CHECK(request.request.deadline == FullRequest().request.deadline);
  CHECK(request.request.work.maxStaleness == 1500ms);
  CHECK(request.request.statements[0].parameters[1] == std::nullopt);
  CHECK(request.request.kind == group::operation::kCommit);
  const auto answer = std::get<wire::group_answer>(
    wire::Decode(wire::Encode(FullAnswer()), kNow).body);
  CHECK(answer.answer.results[0].cells == FullAnswer().answer.results[0].cells);
  CHECK(answer.answer.verdict == outcome::verdict::kNotRun);
  CHECK(answer.answer.why == outcome::reason::kOverloaded);
  const auto beat = std::get<member::heartbeat>(
    wire::Decode(wire::Encode(FullHeartbeat(), kNow), kNow).body);
  CHECK(beat.sender == FullVm());
  CHECK(beat.peerSample == std::vector{ FullVm() });
  CHECK(beat.answer);
  CHECK(beat.lost == FullHeartbeat().lost);
  const auto configuration = std::get<wire::configuration>(
    wire::Decode(wire::Encode(FullConfiguration(), kNow), kNow).body);
  CHECK(configuration == FullConfiguration());
}

TEST(codec, garbage_is_a_typed_error)
{
  for (const auto& row : InvalidRows()) {
    const wire::decoded back = wire::Decode(row.bytes, kNow);
    CHECK_TEXT(back.error == make_error_code(row.expected), row.name);
  }
}

TEST(codec, every_cut_and_every_flipped_byte_is_taken_or_refused)
{
  const std::string full = wire::Encode(FullAnswer());
  for (std::size_t offset = 0; offset < full.size(); ++offset) {
    std::string flipped = full;
    flipped[offset] = static_cast<char>(~flipped[offset]);
    (void)wire::Decode(flipped, kNow);
    (void)wire::Decode(full.substr(0, offset), kNow);
  }
}

TEST(codec, time_left)
{
  for (const auto& row : kTimeoutRows) {
    wire::group_request request;
    request.request.deadline = kNow + row.given;
    const auto back = wire::Decode(wire::Encode(request, kNow), kNow);
    const auto& received = std::get<wire::group_request>(back.body);
    CHECK_TEXT(received.request.deadline == kNow + row.expected, row.name);
  }
}

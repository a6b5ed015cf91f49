#include "currantshed/balance/server_choice.hpp"

#include <array>
#include <chrono>
#include <optional>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using balance::candidate;
using balance::choice;
using balance::ChooseServer;
using balance::reported_load;

namespace {

using action = choice::action;
constexpr unsigned kDraws = 3000;

candidate
Server(std::chrono::milliseconds aExpected)
{
  candidate made;
  made.canServe = true;
  made.hasConnection = true;
  made.expected = aExpected;
  return made;
}

candidate
Primary(std::chrono::milliseconds aExpected,
        std::optional<reported_load> aLoad = {})
{
  auto made = Server(aExpected);
  made.isPrimary = true;
  made.load = aLoad;
  return made;
}

candidate
WithLoad(candidate aServer, reported_load aLoad)
{
  aServer.load = aLoad;
  return aServer;
}

candidate
WithShare(candidate aServer, double aShare)
{
  aServer.share = aShare;
  return aServer;
}

candidate
Busy(candidate aServer)
{
  aServer.hasConnection = false;
  return aServer;
}

// A replica that lacks the position, and the expected end of that.
candidate
Behind(std::optional<std::chrono::milliseconds> aCatchesUpIn = {})
{
  auto made = Server(10ms);
  made.canServe = false;
  made.catchesUpIn = aCatchesUpIn;
  return made;
}

// Both replicas are behind, and requests wait for the primary.
const reported_load kWaiting{ 60ms, 4, 0ms };

struct choice_row
{
  const char* name;
  std::vector<candidate> servers;
  std::chrono::milliseconds timeLeft;
  action what;
  /// Expected share of the draws for each server, with a margin; for kSend.
  std::vector<double> shares;
  std::optional<std::chrono::milliseconds> retryIn;
};

const choice_row kRows[] = {
  { "nothing can serve it",
    { Behind(), Behind() },
    200ms,
    action::kWait,
    {},
    {} },
  { "one that can",
    { Behind(), Server(10ms), Behind() },
    200ms,
    action::kSend,
    { 0, 1, 0 },
    {} },
  { "of two always the faster",
    { Server(10ms), Server(20ms) },
    200ms,
    action::kSend,
    { 1, 0 },
    {} },
  { "of three the fastest in two of three pairs, the slowest never",
    { Server(10ms), Server(20ms), Server(30ms) },
    200ms,
    action::kSend,
    { 0.667, 0.333, 0 },
    {} },
  { "a reported wait counts while fresh",
    { WithLoad(Server(10ms), { 50ms, 3, 0ms }), Server(20ms) },
    200ms,
    action::kSend,
    { 0, 1 },
    {} },
  { "a reported wait that has passed does not count",
    { WithLoad(Server(10ms), { 50ms, 3, 45ms }), Server(20ms) },
    200ms,
    action::kSend,
    { 1, 0 },
    {} },
  { "an ejected server gets nothing, however fast",
    { WithShare(Server(1ms), 0), Server(20ms), Server(20ms) },
    200ms,
    action::kSend,
    { 0, 0.5, 0.5 },
    {} },
  { "a returning server gets its share, however fast",
    { WithShare(Server(1ms), 0.1), Server(20ms) },
    200ms,
    action::kSend,
    { 0.1, 0.9 },
    {} },
  { "an ejected server, if no other can serve it",
    { WithShare(Server(1ms), 0), Behind() },
    200ms,
    action::kSend,
    { 1, 0 },
    {} },
  { "a busy server is waited for, rather than one ejected",
    { WithShare(Server(1ms), 0), Busy(Server(10ms)) },
    200ms,
    action::kWait,
    {},
    {} },
  { "replicas are preferred to the primary",
    { Primary(15ms), Server(20ms) },
    200ms,
    action::kSend,
    { 0, 1 },
    {} },
  { "no part of the reads goes to the primary beside an idle replica",
    { Primary(10ms), Server(13ms), Server(30ms) },
    200ms,
    action::kSend,
    { 0, 1, 0 },
    {} },
  { "the primary helps if the replicas drawn are more than twice as slow",
    { Primary(10ms), Server(50ms), Server(60ms) },
    200ms,
    action::kSend,
    { 1, 0, 0 },
    {} },
  { "the primary helps while it has room",
    { Primary(15ms), Behind(), Behind() },
    200ms,
    action::kSend,
    { 1, 0, 0 },
    {} },
  { "the primary is left alone while requests wait for it",
    { Primary(15ms, kWaiting), Behind(), Server(180ms) },
    200ms,
    action::kSend,
    { 0, 0, 1 },
    {} },
  { "waits until the primary is expected to be free",
    { Primary(15ms, kWaiting), Behind(), Behind() },
    200ms,
    action::kWait,
    {},
    100ms },
  { "waits for a replica that catches up sooner",
    { Primary(15ms, kWaiting), Behind(40ms), Behind(70ms) },
    200ms,
    action::kWait,
    {},
    40ms },
  { "refused at once if nothing serves it in time",
    { Primary(15ms, reported_load{ 300ms, 9, 0ms }), Behind(250ms), Behind() },
    200ms,
    action::kRefuse,
    {},
    {} },
  { "a slow primary without reports is used, if nothing else can serve it",
    { Primary(150ms), Behind(), Behind() },
    140ms,
    action::kSend,
    { 1, 0, 0 },
    {} },
  { "a report of no waiting requests reserves nothing",
    { Primary(150ms, reported_load{ 0ms, 0, 0ms }), Behind(), Behind() },
    140ms,
    action::kSend,
    { 1, 0, 0 },
    {} },
  { "sent, if too late to wait for the primary but not for its queue",
    { Primary(15ms, kWaiting), Behind(), Behind() },
    90ms,
    action::kSend,
    { 1, 0, 0 },
    {} },
  { "refused if the reported wait exceeds the time left",
    { Primary(15ms, kWaiting), Behind(), Behind() },
    50ms,
    action::kRefuse,
    {},
    {} },
  { "an old report keeps nobody away",
    { Primary(15ms, reported_load{ 300ms, 9, 1100ms }), Behind(), Behind() },
    200ms,
    action::kSend,
    { 1, 0, 0 },
    {} },
  { "an ejected replica, rather than the reserved primary",
    { Primary(15ms, kWaiting), WithShare(Server(10ms), 0), Behind() },
    200ms,
    action::kSend,
    { 0, 1, 0 },
    {} },
  { "the only server of a group is never reserved",
    { Primary(15ms, kWaiting) },
    200ms,
    action::kSend,
    { 1 },
    {} },
};

} // namespace

TEST_GROUP(server_choice){};

TEST(server_choice, sends_waits_or_refuses)
{
  constexpr double kMargin = 0.03;
  for (const auto& row : kRows) {
    std::mt19937_64 random(5);
    std::vector<unsigned> drawn(row.servers.size());
    for (unsigned i = 0; i < kDraws; ++i) {
      const auto made = ChooseServer(row.servers, row.timeLeft, random());
      CHECK_TEXT(made.what == row.what, row.name);
      const bool isSameTime =
        made.retryIn.has_value() == row.retryIn.has_value() &&
        (!made.retryIn || *made.retryIn == *row.retryIn);
      CHECK_TEXT(isSameTime, row.name);
      drawn[made.index] += made.what == action::kSend ? 1 : 0;
    }
    for (std::size_t i = 0; i < row.shares.size(); ++i) {
      DOUBLES_EQUAL_TEXT(
        row.shares[i], 1.0 * drawn[i] / kDraws, kMargin, row.name);
    }
  }
}

// Both replicas are 1.5 s behind for four seconds. Reads that must see their
// session's commit don't take the primary's slots while requests wait there,
// and go to the replicas as soon as these have caught up.
TEST(server_choice, keeps_reads_off_a_loaded_primary_during_a_lag)
{
  constexpr auto kLag = 1500ms;
  constexpr auto kEnd = 4000ms;
  constexpr auto kTarget = 250ms;
  std::mt19937_64 random(5);
  std::array<unsigned, 3> sent{};
  unsigned refused = 0;
  unsigned reserved = 0;
  for (auto at = 0ms; at < 5000ms; at += 25ms) {
    const auto lag = at < kEnd ? kLag : 0ms;
    const bool isLoaded = at % 1000ms < 500ms;
    std::vector<candidate> servers = {
      Primary(15ms,
              isLoaded ? std::optional(reported_load{ 400ms, 6, 0ms })
                       : std::nullopt),
      lag > 0ms ? Behind(lag) : Server(10ms),
      lag > 0ms ? Behind(lag) : Server(10ms)
    };
    const auto made = ChooseServer(servers, kTarget, random());
    refused += made.what == action::kRefuse ? 1 : 0;
    reserved += isLoaded && made.what == action::kSend && made.index == 0;
    if (made.what == action::kSend) {
      ++sent[made.index];
    }
    CHECK(at < kEnd || made.index != 0);
  }
  CHECK_EQUAL(0U, reserved);
  CHECK_EQUAL(80U, refused);
  CHECK_EQUAL(80U, sent[0]);
  CHECK_EQUAL(40U, sent[1] + sent[2]);
}

#include "currantshed/node/server_list.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using node::list_source;
using node::listing_state;

namespace {

const clock::time_point kStart{ 1h };

/// What the store lists at one time: names, those that leave in capitals.
struct listing
{
  std::chrono::milliseconds at;
  std::vector<std::string> names;
};

/// What is told of one server.
struct told
{
  std::string name;
  listing_state standing;

  friend bool operator==(const told&, const told&) = default;
};

struct row
{
  const char* name;
  std::vector<listing> given;
  /// What the last listing brings.
  std::vector<told> expect;
  /// Who is known after it.
  std::vector<std::string> known;
};

const row kRows[] = {
  { "servers that are new",
    { { 0ms, { "a", "b" } } },
    { { "a", listing_state::kReady }, { "b", listing_state::kReady } },
    { "a", "b" } },
  { "what is the same is no news",
    { { 0ms, { "a", "b" } }, { 50ms, { "a", "b" } } },
    {},
    { "a", "b" } },
  { "one that leaves",
    { { 0ms, { "a", "b" } }, { 50ms, { "A", "b" } } },
    { { "a", listing_state::kLeaving } },
    { "A", "b" } },
  { "one that leaves is missing, and leaves all the same",
    { { 0ms, { "A", "b" } }, { 50ms, { "b" } } },
    { { "a", listing_state::kMissing } },
    { "A", "b" } },
  { "one that is missing for long is gone",
    { { 0ms, { "a", "b" } }, { 50ms, { "b" } }, { 3050ms, { "b" } } },
    { { "a", listing_state::kGone } },
    { "b" } },
  { "one that is missing for a short time is back",
    { { 0ms, { "a", "b" } }, { 50ms, { "b" } }, { 2050ms, { "a", "b" } } },
    { { "a", listing_state::kReady } },
    { "a", "b" } },
  { "one that was gone is back",
    { { 0ms, { "a", "b" } },
      { 50ms, { "b" } },
      { 4000ms, { "b" } },
      { 9000ms, { "A", "b" } } },
    { { "a", listing_state::kLeaving } },
    { "A", "b" } },
};

std::vector<proxy::server>
ServersOf(const std::vector<std::string>& aNames)
{
  std::vector<proxy::server> made;
  made.reserve(aNames.size());
  for (const auto& name : aNames) {
    proxy::server one;
    one.draining = name < "a";
    one.id =
      one.draining ? std::string(1, static_cast<char>(name[0] + 32)) : name;
    made.push_back(one);
  }
  return made;
}

std::vector<std::string>
NamesOf(const std::vector<proxy::server>& aServers)
{
  std::vector<std::string> names;
  names.reserve(aServers.size());
  for (const auto& one : aServers) {
    names.push_back(one.draining
                      ? std::string(1, static_cast<char>(one.id[0] - 32))
                      : one.id);
  }
  std::sort(names.begin(), names.end());
  return names;
}

} // namespace

TEST_GROUP(server_list){};

TEST(server_list, tells_what_becomes_of_servers)
{
  for (const auto& row : kRows) {
    node::server_list list;
    std::vector<told> heard;
    for (const auto& listing : row.given) {
      heard.clear();
      for (const auto& one : list.Take(ServersOf(listing.names),
                                       list_source::kWatch,
                                       kStart + listing.at)) {
        heard.push_back({ one.server.id, one.standing });
      }
    }
    CHECK_TEXT(heard == row.expect, row.name);
    CHECK_TEXT(NamesOf(list.Servers()) == row.known, row.name);
  }
}

// What an earlier life of a server had said is not carried over to the next,
// and the next one's word is not taken back with it.
TEST(server_list, a_server_that_starts_again_begins_anew)
{
  const auto listed = [](std::chrono::milliseconds aStart, bool aLeaves) {
    proxy::server one;
    one.id = "a";
    one.startedAt = proxy::start_time{ aStart };
    one.draining = aLeaves;
    return std::vector<proxy::server>{ one };
  };
  node::server_list list;
  list.Take(listed(5000ms, true), list_source::kWatch, kStart);
  list.Take({}, list_source::kWatch, kStart + 100ms);
  auto news =
    list.Take(listed(9000ms, false), list_source::kWatch, kStart + 1s);
  CHECK(news.size() == 1 && news[0].standing == listing_state::kReady);
  CHECK(!list.Servers()[0].drainingSince);
  // The clock of the next start was set back.
  news = list.Take(listed(7000ms, true), list_source::kWatch, kStart + 2s);
  CHECK(news.size() == 1 && news[0].standing == listing_state::kLeaving);
  CHECK(*list.Servers()[0].drainingSince == kStart + 2s);
  news = list.Take(listed(8000ms, true), list_source::kWatch, kStart + 3s);
  CHECK(news.size() == 1);
  CHECK(*list.Servers()[0].drainingSince == kStart + 3s);
}

TEST(server_list, is_due_when_the_time_of_a_missing_server_is_up)
{
  node::server_list list;
  list.Take(ServersOf({ "a", "b" }), list_source::kWatch, kStart);
  list.Take(ServersOf({ "b" }), list_source::kWatch, kStart + 100ms);
  CHECK(!list.IsDue(kStart + 3099ms));
  CHECK(list.IsDue(kStart + 3100ms));
  list.Take(ServersOf({ "b" }), list_source::kWatch, kStart + 3100ms);
  CHECK(!list.IsDue(kStart + 9000ms));
}

namespace {

struct source_step
{
  std::chrono::milliseconds at;
  list_source source;
  std::vector<std::string> names;
};

struct age_row
{
  const char* name;
  std::vector<source_step> given;
  /// How long "a" may have been leaving at the time of the last step, at the
  /// most; none if it is not.
  std::optional<std::chrono::milliseconds> expect;
};

constexpr std::chrono::milliseconds kUnknownAge = 1h;

const age_row kAgeRows[] = {
  { "one that stays",
    { { 0ms, list_source::kResync, { "a" } } },
    std::nullopt },
  { "its word came by the watch",
    { { 0ms, list_source::kResync, { "a" } },
      { 900ms, list_source::kWatch, { "A" } },
      { 1500ms, list_source::kWatch, { "A", "b" } } },
    600ms },
  { "its word came while this VM was out of touch",
    { { 0ms, list_source::kResync, { "a" } },
      { 900ms, list_source::kResync, { "A" } } },
    kUnknownAge },
  { "it was leaving when this VM started",
    { { 0ms, list_source::kResync, { "A" } } },
    kUnknownAge },
  { "what was known before this VM was out of touch is kept",
    { { 0ms, list_source::kResync, { "a" } },
      { 900ms, list_source::kWatch, { "A" } },
      { 2900ms, list_source::kResync, { "A" } } },
    2000ms },
  { "its entry lapses and is back",
    { { 0ms, list_source::kResync, { "a" } },
      { 900ms, list_source::kWatch, { "A" } },
      { 1900ms, list_source::kWatch, {} },
      { 2900ms, list_source::kResync, { "A" } } },
    2000ms },
  { "it stays after all, and leaves later",
    { { 0ms, list_source::kResync, { "A" } },
      { 900ms, list_source::kWatch, { "a" } },
      { 1900ms, list_source::kWatch, { "A" } },
      { 2000ms, list_source::kWatch, { "A", "b" } } },
    100ms },
};

} // namespace

TEST(server_list, knows_how_long_a_server_may_have_been_leaving)
{
  for (const auto& row : kAgeRows) {
    node::server_list list;
    for (const auto& step : row.given) {
      list.Take(ServersOf(step.names), step.source, kStart + step.at);
    }
    const auto& servers = list.Servers();
    const auto found =
      std::find_if(servers.begin(), servers.end(), [](const auto& aOne) {
        return aOne.id == "a";
      });
    CHECK_TEXT(found != servers.end(), row.name);
    CHECK_TEXT(found->drainingSince.has_value() == row.expect.has_value(),
               row.name);
    if (row.expect) {
      const auto at = kStart + row.given.back().at;
      CHECK_TEXT(at - *found->drainingSince == *row.expect, row.name);
    }
  }
}

namespace {

struct copy_row
{
  const char* name;
  std::vector<std::string> before;
  /// What the older copy lists, and what servers write again later.
  std::vector<std::string> copy;
  std::vector<std::string> again;
  /// Who is known with the copy, 100 ms before the time is up, and after it.
  std::vector<std::string> withCopy;
  std::vector<std::string> within;
  std::vector<std::string> after;
};

const copy_row kCopyRows[] = {
  { "one that leaves, which says so again",
    { "A", "b" },
    { "a", "b" },
    { "A", "b" },
    { "A", "b" },
    { "A", "b" },
    { "A", "b" } },
  { "one that stays after all",
    { "A", "b" },
    { "a", "b" },
    { "a", "b" },
    { "A", "b" },
    { "A", "b" },
    { "a", "b" } },
  { "one that the copy does not have",
    { "a", "b" },
    { "b" },
    { "b" },
    { "a", "b" },
    { "a", "b" },
    { "b" } },
};

} // namespace

// A copy of the list may be older than what servers have said since. They write
// it again within two seconds.
TEST(server_list, an_older_snapshot_takes_back_no_state_of_a_server)
{
  for (const auto& row : kCopyRows) {
    node::server_list list;
    list.Take(ServersOf(row.before), list_source::kWatch, kStart);
    list.OnStoreRestored(kStart + 100ms);
    list.Take(ServersOf(row.copy), list_source::kResync, kStart + 100ms);
    CHECK_TEXT(NamesOf(list.Servers()) == row.withCopy, row.name);
    list.Take(ServersOf(row.again), list_source::kWatch, kStart + 3000ms);
    CHECK_TEXT(NamesOf(list.Servers()) == row.within, row.name);
    CHECK_TEXT(list.IsDue(kStart + 3100ms), row.name);
    list.Take(ServersOf(row.again), list_source::kWatch, kStart + 3100ms);
    CHECK_TEXT(NamesOf(list.Servers()) == row.after, row.name);
    CHECK_TEXT(!list.IsDue(kStart + 9000ms), row.name);
  }
}

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

/// The servers that the store lists at a time. Draining servers are in
/// capitals.
struct listing
{
  std::chrono::milliseconds at;
  std::vector<std::string> names;
};

/// A change of one server's state.
struct state_change
{
  std::string name;
  listing_state state;

  friend bool operator==(const state_change&, const state_change&) = default;
};

struct row
{
  const char* name;
  std::vector<listing> given;
  /// Changes that the last listing causes.
  std::vector<state_change> expect;
  /// Servers that are known after the last listing.
  std::vector<std::string> known;
};

const row kRows[] = {
  { "new servers",
    { { 0ms, { "a", "b" } } },
    { { "a", listing_state::kReady }, { "b", listing_state::kReady } },
    { "a", "b" } },
  { "an unchanged list",
    { { 0ms, { "a", "b" } }, { 50ms, { "a", "b" } } },
    {},
    { "a", "b" } },
  { "a server drains",
    { { 0ms, { "a", "b" } }, { 50ms, { "A", "b" } } },
    { { "a", listing_state::kDraining } },
    { "A", "b" } },
  { "a draining server is missing and remains draining",
    { { 0ms, { "A", "b" } }, { 50ms, { "b" } } },
    { { "a", listing_state::kMissing } },
    { "A", "b" } },
  { "a server is removed after the grace period",
    { { 0ms, { "a", "b" } }, { 50ms, { "b" } }, { 3050ms, { "b" } } },
    { { "a", listing_state::kGone } },
    { "b" } },
  { "a missing server is listed again within the grace period",
    { { 0ms, { "a", "b" } }, { 50ms, { "b" } }, { 2050ms, { "a", "b" } } },
    { { "a", listing_state::kReady } },
    { "a", "b" } },
  { "a removed server is listed again",
    { { 0ms, { "a", "b" } },
      { 50ms, { "b" } },
      { 4000ms, { "b" } },
      { 9000ms, { "A", "b" } } },
    { { "a", listing_state::kDraining } },
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

TEST(server_list, returns_state_changes)
{
  for (const auto& row : kRows) {
    node::server_list list;
    std::vector<state_change> changes;
    for (const auto& listing : row.given) {
      changes.clear();
      for (const auto& one : list.Update(ServersOf(listing.names),
                                         list_source::kWatch,
                                         kStart + listing.at)) {
        changes.push_back({ one.server.id, one.state });
      }
    }
    CHECK_TEXT(changes == row.expect, row.name);
    CHECK_TEXT(NamesOf(list.Servers()) == row.known, row.name);
  }
}

// A restarted server must not inherit the draining state of its earlier
// incarnation, nor lose its own because of it.
TEST(server_list, a_restarted_server_inherits_nothing)
{
  const auto listed = [](std::chrono::milliseconds aStart, bool aLeaves) {
    proxy::server one;
    one.id = "a";
    one.startedAt = proxy::start_time{ aStart };
    one.draining = aLeaves;
    return std::vector<proxy::server>{ one };
  };
  node::server_list list;
  list.Update(listed(5000ms, true), list_source::kWatch, kStart);
  list.Update({}, list_source::kWatch, kStart + 100ms);
  auto changes =
    list.Update(listed(9000ms, false), list_source::kWatch, kStart + 1s);
  CHECK(changes.size() == 1 && changes[0].state == listing_state::kReady);
  CHECK(!list.Servers()[0].drainingSince);
  // The clock was set back before this restart.
  changes = list.Update(listed(7000ms, true), list_source::kWatch, kStart + 2s);
  CHECK(changes.size() == 1 && changes[0].state == listing_state::kDraining);
  CHECK(*list.Servers()[0].drainingSince == kStart + 2s);
  changes = list.Update(listed(8000ms, true), list_source::kWatch, kStart + 3s);
  CHECK(changes.size() == 1);
  CHECK(*list.Servers()[0].drainingSince == kStart + 3s);
}

TEST(server_list, is_due_at_the_end_of_the_grace_period)
{
  node::server_list list;
  list.Update(ServersOf({ "a", "b" }), list_source::kWatch, kStart);
  list.Update(ServersOf({ "b" }), list_source::kWatch, kStart + 100ms);
  CHECK(!list.IsDue(kStart + 3099ms));
  CHECK(list.IsDue(kStart + 3100ms));
  list.Update(ServersOf({ "b" }), list_source::kWatch, kStart + 3100ms);
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
  /// The maximum time for which "a" may have been draining at the last step;
  /// nullopt if it is not draining.
  std::optional<std::chrono::milliseconds> expect;
};

constexpr std::chrono::milliseconds kUnknownAge = 1h;

const age_row kAgeRows[] = {
  { "not draining", { { 0ms, list_source::kResync, { "a" } } }, std::nullopt },
  { "draining was learned through the watch",
    { { 0ms, list_source::kResync, { "a" } },
      { 900ms, list_source::kWatch, { "A" } },
      { 1500ms, list_source::kWatch, { "A", "b" } } },
    600ms },
  { "draining began while this VM was disconnected",
    { { 0ms, list_source::kResync, { "a" } },
      { 900ms, list_source::kResync, { "A" } } },
    kUnknownAge },
  { "draining when this VM started",
    { { 0ms, list_source::kResync, { "A" } } },
    kUnknownAge },
  { "the time learned before a disconnection is kept",
    { { 0ms, list_source::kResync, { "a" } },
      { 900ms, list_source::kWatch, { "A" } },
      { 2900ms, list_source::kResync, { "A" } } },
    2000ms },
  { "the entry expires and is listed again",
    { { 0ms, list_source::kResync, { "a" } },
      { 900ms, list_source::kWatch, { "A" } },
      { 1900ms, list_source::kWatch, {} },
      { 2900ms, list_source::kResync, { "A" } } },
    2000ms },
  { "draining is cancelled and begins again later",
    { { 0ms, list_source::kResync, { "A" } },
      { 900ms, list_source::kWatch, { "a" } },
      { 1900ms, list_source::kWatch, { "A" } },
      { 2000ms, list_source::kWatch, { "A", "b" } } },
    100ms },
};

} // namespace

TEST(server_list, knows_how_long_a_server_may_have_been_draining)
{
  for (const auto& row : kAgeRows) {
    node::server_list list;
    for (const auto& step : row.given) {
      list.Update(ServersOf(step.names), step.source, kStart + step.at);
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

struct restore_row
{
  const char* name;
  std::vector<std::string> before;
  /// The list in the restored snapshot, and what the servers write again later.
  std::vector<std::string> restored;
  std::vector<std::string> again;
  /// Servers known with the restored list, 100 ms before the end of the grace
  /// period, and after it.
  std::vector<std::string> withRestored;
  std::vector<std::string> within;
  std::vector<std::string> after;
};

const restore_row kRestoreRows[] = {
  { "a draining server writes its state again",
    { "A", "b" },
    { "a", "b" },
    { "A", "b" },
    { "A", "b" },
    { "A", "b" },
    { "A", "b" } },
  { "a server that is no longer draining",
    { "A", "b" },
    { "a", "b" },
    { "a", "b" },
    { "A", "b" },
    { "A", "b" },
    { "a", "b" } },
  { "a server that the snapshot lacks",
    { "a", "b" },
    { "b" },
    { "b" },
    { "a", "b" },
    { "a", "b" },
    { "b" } },
};

} // namespace

// A restored list may lack recent writes of servers, which they repeat within
// two seconds.
TEST(server_list, an_older_snapshot_takes_back_no_state_of_a_server)
{
  for (const auto& row : kRestoreRows) {
    node::server_list list;
    list.Update(ServersOf(row.before), list_source::kWatch, kStart);
    list.OnStoreRestored(kStart + 100ms);
    list.Update(ServersOf(row.restored), list_source::kResync, kStart + 100ms);
    CHECK_TEXT(NamesOf(list.Servers()) == row.withRestored, row.name);
    list.Update(ServersOf(row.again), list_source::kWatch, kStart + 3000ms);
    CHECK_TEXT(NamesOf(list.Servers()) == row.within, row.name);
    CHECK_TEXT(list.IsDue(kStart + 3100ms), row.name);
    list.Update(ServersOf(row.again), list_source::kWatch, kStart + 3100ms);
    CHECK_TEXT(NamesOf(list.Servers()) == row.after, row.name);
    CHECK_TEXT(!list.IsDue(kStart + 9000ms), row.name);
  }
}

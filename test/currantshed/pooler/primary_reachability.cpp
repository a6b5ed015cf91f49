#include "currantshed/pooler/primary_reachability.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace currantshed;

namespace {

using upstream::server_role;

constexpr clock::time_point kStart{ 100s };
constexpr auto kHeardWithin = 100ms;
constexpr position::term_id kTerm = 3;

struct word
{
  std::chrono::milliseconds at;
  server_role role = server_role::kReplica;
  position::term_id term = kTerm;
  std::optional<std::chrono::milliseconds> sincePrimary;
};

struct reach_row
{
  const char* name;
  /// Suspected from the start on, or not at all.
  bool isSuspected;
  std::vector<word> words;
  std::chrono::milliseconds asked;
  bool isCutOff;
};

std::vector<reach_row>
ReachRows()
{
  const auto replica = server_role::kReplica;
  return {
    { "nothing is known", true, {}, 10ms, false },
    { "a replica hears the primary",
      true,
      { { 10ms, replica, kTerm, 5ms } },
      20ms,
      true },
    { "but nothing is suspected",
      false,
      { { 10ms, replica, kTerm, 5ms } },
      20ms,
      false },
    { "a replica has lost the primary too",
      true,
      { { 10ms, replica, kTerm, 101ms } },
      20ms,
      false },
    { "a replica follows nobody",
      true,
      { { 10ms, replica, kTerm, std::nullopt } },
      20ms,
      false },
    { "a replica of another term",
      true,
      { { 10ms, replica, kTerm + 1, 5ms } },
      20ms,
      false },
    { "a fenced server",
      true,
      { { 10ms, server_role::kFenced, kTerm, 5ms } },
      20ms,
      false },
    { "the word has grown old",
      true,
      { { 10ms, replica, kTerm, 5ms } },
      111ms,
      false },
    { "one of two hears it",
      true,
      { { 10ms, replica, kTerm, 5ms }, { 20ms, replica, kTerm, 500ms } },
      30ms,
      true },
  };
}

} // namespace

TEST_GROUP(primary_reachability){};

TEST(primary_reachability, cut_off)
{
  for (const auto& row : ReachRows()) {
    pooler::primary_reachability reach(kHeardWithin);
    if (row.isSuspected) {
      reach.Suspect({ "g", kTerm, "a" });
    }
    for (const auto& word : row.words) {
      upstream::server_status status;
      status.role = word.role;
      status.term = word.term;
      status.sincePrimary = word.sincePrimary;
      reach.Heard(status, kStart + word.at);
    }
    CHECK_EQUAL_TEXT(
      row.isCutOff, reach.IsCutOff(kStart + row.asked), row.name);
  }
}

TEST(primary_reachability, a_withdrawn_suspicion_ends_it)
{
  pooler::primary_reachability reach(kHeardWithin);
  reach.Suspect({ "g", kTerm, "a" });
  upstream::server_status status;
  status.term = kTerm;
  status.sincePrimary = 1ms;
  reach.Heard(status, kStart);
  CHECK(reach.IsCutOff(kStart));
  reach.Suspect({ "g", 0, "" });
  CHECK_FALSE(reach.IsCutOff(kStart));
}

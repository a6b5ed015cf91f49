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

struct report
{
  std::chrono::milliseconds at;
  server_role role = server_role::kReplica;
  position::term_id term = kTerm;
  std::optional<std::chrono::milliseconds> sincePrimary;
};

struct reach_row
{
  const char* name;
  /// Whether the primary is suspected from the start.
  bool isSuspected;
  std::vector<report> reports;
  std::chrono::milliseconds asked;
  bool isCutOff;
};

std::vector<reach_row>
ReachRows()
{
  const auto replica = server_role::kReplica;
  return {
    { "no status received", true, {}, 10ms, false },
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
    { "a replica follows no primary",
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
    { "the report is too old",
      true,
      { { 10ms, replica, kTerm, 5ms } },
      111ms,
      false },
    { "one of two replicas hears it",
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
    pooler::primary_reachability reachability(kHeardWithin);
    if (row.isSuspected) {
      reachability.Suspect({ "g", kTerm, "a" });
    }
    for (const auto& report : row.reports) {
      upstream::server_status status;
      status.role = report.role;
      status.term = report.term;
      status.sincePrimary = report.sincePrimary;
      reachability.OnStatus(status, kStart + report.at);
    }
    CHECK_EQUAL_TEXT(
      row.isCutOff, reachability.IsCutOff(kStart + row.asked), row.name);
  }
}

TEST(primary_reachability, a_withdrawn_suspicion_ends_it)
{
  pooler::primary_reachability reachability(kHeardWithin);
  reachability.Suspect({ "g", kTerm, "a" });
  upstream::server_status status;
  status.term = kTerm;
  status.sincePrimary = 1ms;
  reachability.OnStatus(status, kStart);
  CHECK(reachability.IsCutOff(kStart));
  reachability.Suspect({ "g", 0, "" });
  CHECK_FALSE(reachability.IsCutOff(kStart));
}

// Guards against statements that wait inside a server, in order of arrival:
// three connection holders sent up to twelve each to six slots, and the
// strictest class waited there behind all others.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "currantshed/proxy/engine.hpp"
#include "test/currantshed/proxy/load_simulation.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using proxy::command_kind;
using proxy::statement_kind;

namespace {

constexpr clock::time_point kBegin{ 1h };
constexpr unsigned kSlots = 6;
// Half as many statements again as slots, for three holders.
constexpr unsigned kLimit = 3;
constexpr std::size_t kSessions = 6;

/// Records what is sent on each connection, and opens them when told.
class recorded_links final : public proxy::link_opener
{
public:
  struct one_link
  {
    proxy::link_listener* listener = nullptr;
    bool isOpen = false;
    /// Commands that were sent and not answered.
    std::vector<proxy::command> unanswered;
  };

  class link final : public proxy::upstream_link
  {
  public:
    explicit link(std::shared_ptr<one_link> aState)
      : mState(std::move(aState))
    {
    }

    void Send(const std::vector<proxy::command>& aCommands) override
    {
      mState->unanswered.insert(
        mState->unanswered.end(), aCommands.begin(), aCommands.end());
    }

  private:
    std::shared_ptr<one_link> mState;
  };

  std::unique_ptr<proxy::upstream_link> Open(
    const proxy::server& /*aServer*/,
    const proxy::path& /*aVia*/,
    const std::string& /*aCustomer*/,
    proxy::link_listener& aListener) override
  {
    links.push_back(std::make_shared<one_link>());
    links.back()->listener = &aListener;
    return std::make_unique<link>(links.back());
  }

  std::vector<std::shared_ptr<one_link>> links;
};

class null_caller final : public proxy::caller
{
public:
  void Deliver(const proxy::answer& /*aAnswer*/) override {}
  void Close() override {}
};

/// Records why requests were rejected.
class reason_host final : public proxy::engine_host
{
public:
  void NeedsConfirmation(const std::string&) override {}
  void LeadershipDenied(const std::string&, position::term_id) override {}
  void NeedsTokens(const std::string&, unsigned) override {}
  void Decided(const proxy::decision& aDecision) override
  {
    reasons.emplace_back(
      aDecision.reason.substr(0, aDecision.reason.find(';')));
  }
  void ReachabilityChanged(const proxy::server&,
                           bool,
                           std::string_view) override
  {
  }

  std::vector<std::string> reasons;
};

struct holder_setting
{
  unsigned slots = kSlots;
  std::size_t vms = 40;
  unsigned maxConnections = 72;
  /// Whether the routes of the service differ in priority.
  bool hasClasses = true;
};

/// A connection holder, and other VMs' sessions through it.
class one_holder
{
public:
  explicit one_holder(const holder_setting& aSetting)
    : mEngine({ "vm-0", "domain-0", 100000ms }, mLinks, mHost)
  {
    auto made = std::make_shared<proxy::configuration>();
    made->version = 1;
    made->services["group"] = { "group", aSetting.maxConnections };
    for (const unsigned priority : { 0U, 1U }) {
      proxy::route route;
      route.name = "database-" + std::to_string(priority);
      route.database = route.name;
      route.service = "group";
      route.priority = aSetting.hasClasses ? priority : 0;
      made->routes[route.name] = std::make_shared<proxy::route>(route);
    }
    std::vector<proxy::fleet_vm> fleet;
    for (std::size_t i = 0; i < aSetting.vms; ++i) {
      fleet.push_back({ "vm-" + std::to_string(i),
                        "domain-" + std::to_string(i % 3),
                        "127.0.0.1",
                        1,
                        false,
                        i < 3 });
    }
    proxy::server listed;
    listed.id = "server";
    listed.service = "group";
    listed.failureDomain = "domain-0";
    listed.slots = aSetting.slots;
    mEngine.SetConfiguration(std::move(made), mNow);
    mEngine.SetFleet(fleet, mNow);
    mEngine.SetServers({ listed }, mNow);
    // Opens as many connections as there are sessions: an opening counts.
    for (std::size_t i = 0; i < kSessions; ++i) {
      mSessions.push_back(*mEngine.OpenRelay("server", mCaller));
    }
    for (std::size_t i = 0; i < kSessions; ++i) {
      Begin(i);
      OpenAll();
    }
    AnswerAll();
    for (std::size_t i = 0; i < kSessions; ++i) {
      Submit(i, statement_kind::kRollback);
    }
    AnswerAll();
    mHost.reasons.clear();
  }

  [[nodiscard]] const std::vector<std::string>& Reasons() const
  {
    return mHost.reasons;
  }

  void Begin(std::size_t aSession) { Submit(aSession, statement_kind::kBegin); }

  void Submit(std::size_t aSession,
              statement_kind aKind,
              bool aNeedsPrimary = true,
              bool aHasAttributes = true,
              std::chrono::milliseconds aUntilTarget = 1000ms)
  {
    proxy::session_statement statement;
    statement.kind = aKind;
    statement.id = "id";
    statement.text = aKind == statement_kind::kWrite ? "WRITE a b" : "READ a";
    if (aHasAttributes) {
      statement.attributes =
        proxy::request_attributes{ 1, aUntilTarget, 2000ms, 0, aNeedsPrimary };
    }
    mEngine.Submit(mSessions[aSession], statement, mNow);
    OpenAll();
  }

  /// Statements in flight.
  [[nodiscard]] std::size_t InFlight() const
  {
    std::size_t sum = 0;
    for (const auto& one : mLinks.links) {
      sum += one->unanswered.size();
    }
    return sum;
  }

  /// Answers the oldest of one connection's statements.
  void AnswerOne(bool aIsBusy = false)
  {
    for (const auto& one : mLinks.links) {
      if (!one->unanswered.empty()) {
        Answer(*one, aIsBusy);
        return;
      }
    }
  }

  void AnswerAll()
  {
    while (InFlight() > 0) {
      AnswerOne();
    }
  }

  void Wait(std::chrono::milliseconds aDuration)
  {
    mNow += aDuration;
    mEngine.Tick(mNow);
    OpenAll();
  }

private:
  void Answer(recorded_links::one_link& aLink, bool aIsBusy)
  {
    proxy::answer made;
    const auto kind = aLink.unanswered.front().kind;
    aLink.unanswered.erase(aLink.unanswered.begin());
    if (aIsBusy) {
      made.failed = proxy::failure{ proxy::failure_code::kBusy, "" };
    }
    made.state = kind == command_kind::kBegin ? proxy::transaction_state::kOpen
                                              : proxy::transaction_state::kIdle;
    made.position = position::log_position{ 1, 1 };
    mNow += 5ms;
    aLink.listener->Answered(made, mNow);
    OpenAll();
  }

  void OpenAll()
  {
    for (std::size_t i = 0; i < mLinks.links.size(); ++i) {
      const auto one = mLinks.links[i];
      if (!one->isOpen) {
        one->isOpen = true;
        one->listener->Opened(position::log_position{ 1, 1 }, mNow);
      }
    }
  }

  clock::time_point mNow = kBegin;
  recorded_links mLinks;
  reason_host mHost;
  null_caller mCaller;
  std::vector<proxy::engine::session_id> mSessions;
  proxy::engine mEngine;
};

struct switch_row
{
  const char* name;
  holder_setting setting;
  /// Of six requests.
  std::size_t inFlight;
};

const switch_row kSwitches[] = {
  { "few holders, classes, reported slots", {}, kLimit },
  { "slots not reported", { .slots = 0 }, kSessions },
  { "routes of one class", { .hasClasses = false }, kSessions },
  { "every VM connects", { .vms = 3 }, kSessions },
  { "one VM", { .vms = 1 }, kSessions },
};

} // namespace

TEST_GROUP(server_concurrency){};

TEST(server_concurrency, acts_where_holders_share_slots_and_classes_differ)
{
  for (const auto& row : kSwitches) {
    one_holder holder(row.setting);
    for (std::size_t i = 0; i < kSessions; ++i) {
      holder.Submit(i, statement_kind::kRead);
    }
    LONGS_EQUAL_TEXT(row.inFlight, holder.InFlight(), row.name);
  }
}

TEST(server_concurrency, an_answer_lets_the_next_request_go)
{
  one_holder holder({});
  for (std::size_t i = 0; i < kSessions; ++i) {
    holder.Submit(i, statement_kind::kRead);
  }
  for (std::size_t left = kSessions; left > 0; --left) {
    LONGS_EQUAL(std::min<std::size_t>(kLimit, left), holder.InFlight());
    holder.AnswerOne();
  }
}

// A transaction holds locks: its statements never wait. One that pauses
// occupies no slot.
TEST(server_concurrency, statements_of_a_begun_transaction_are_not_held_back)
{
  one_holder holder({});
  for (std::size_t i = 0; i + 1 < kSessions; ++i) {
    holder.Begin(i);
    holder.AnswerAll();
  }
  for (std::size_t i = 0; i + 1 < kSessions; ++i) {
    holder.Submit(i, statement_kind::kRead);
  }
  LONGS_EQUAL(kSessions - 1, holder.InFlight());
  holder.Submit(kSessions - 1, statement_kind::kRead);
  LONGS_EQUAL(kSessions - 1, holder.InFlight());
  // The last request waits until fewer than the limit are left, and goes with
  // the answer to a statement whose transaction stays open.
  holder.AnswerOne();
  LONGS_EQUAL(kSessions - 2, holder.InFlight());
  holder.AnswerOne();
  LONGS_EQUAL(kSessions - 3, holder.InFlight());
  holder.AnswerOne();
  LONGS_EQUAL(kLimit, holder.InFlight());
}

TEST(server_concurrency, reads_leave_a_part_to_what_needs_the_primary)
{
  struct reserve_row
  {
    const char* name;
    bool hasWrites;
    bool hasAttributes;
    std::size_t reads;
    std::size_t inFlight;
  };
  const reserve_row rows[] = {
    { "reads alone", false, true, 5, kLimit },
    { "beside writes", true, true, 5, kLimit - 1 },
    { "from an older build", true, false, 5, kLimit },
  };
  for (const auto& row : rows) {
    one_holder holder({});
    if (row.hasWrites) {
      holder.Submit(0, statement_kind::kWrite);
      holder.AnswerOne();
    } else {
      holder.Wait(2500ms);
    }
    for (std::size_t i = 0; i < row.reads; ++i) {
      holder.Submit(i, statement_kind::kRead, false, row.hasAttributes);
    }
    LONGS_EQUAL_TEXT(row.inFlight, holder.InFlight(), row.name);
    // The part is free for a write behind the reads that wait.
    if (row.inFlight < kLimit) {
      holder.Submit(kSessions - 1, statement_kind::kWrite);
      LONGS_EQUAL_TEXT(kLimit, holder.InFlight(), row.name);
    }
  }
}

TEST(server_concurrency, a_rejection_by_the_server_lowers_the_limit)
{
  one_holder holder({});
  for (std::size_t i = 0; i < kSessions; ++i) {
    holder.Submit(i, statement_kind::kRead);
  }
  holder.AnswerOne(true);
  LONGS_EQUAL(kLimit - 1, holder.InFlight());
}

TEST(server_concurrency, the_log_names_the_limit_as_the_reason)
{
  one_holder holder({});
  for (std::size_t i = 0; i < kSessions; ++i) {
    holder.Submit(i, statement_kind::kRead, true, true, 100ms);
  }
  LONGS_EQUAL(kLimit, holder.InFlight());
  holder.Wait(150ms);
  LONGS_EQUAL(kSessions - kLimit, holder.Reasons().size());
  for (const auto& reason : holder.Reasons()) {
    STRCMP_EQUAL("concurrency_limit", reason.c_str());
  }
}

// The server is frozen or the way to it is cut: lost answers must not keep the
// limit used up until the statements' own time is over.
TEST(server_concurrency, lost_answers_do_not_use_up_the_limit)
{
  one_holder holder({});
  for (std::size_t i = 0; i < kSessions; ++i) {
    holder.Submit(i, statement_kind::kRead);
  }
  LONGS_EQUAL(kLimit, holder.InFlight());
  // Those that wait are rejected after 150 ms, and their callers try again.
  holder.Wait(300ms);
  for (std::size_t i = kLimit; i < kSessions; ++i) {
    holder.Submit(i, statement_kind::kRead);
  }
  LONGS_EQUAL(kLimit, holder.InFlight());
  holder.Wait(300ms);
  for (std::size_t i = kLimit; i < kSessions; ++i) {
    holder.Submit(i, statement_kind::kRead);
  }
  LONGS_EQUAL(kSessions, holder.InFlight());
}

// Writes are of the stricter class and take 6 ms of a server's time. Twice and
// four times as many reads as three servers can do, through three holders:
// before, writes took 70 ms and 75 ms in the primary, which rejected most.
TEST(server_concurrency, the_strictest_class_waits_little_inside_the_server)
{
  struct overload_row
  {
    const char* name;
    double reads;
    /// Mean time of a write in the server.
    std::chrono::milliseconds most;
    /// Of the writes offered and the statements done, per second.
    double writes;
    double done;
  };
  constexpr double kWrites = 120;
  const overload_row rows[] = {
    { "calm", 200, 7ms, 0.9, 290 },
    { "near the capacity", 900, 15ms, 0.9, 950 },
    { "twice the capacity", 2000, 21ms, 0.9, 1030 },
    { "four times the capacity", 4000, 21ms, 0.9, 1030 },
  };
  constexpr std::uint32_t kSeed = 7;
  for (const auto& row : rows) {
    test::load_simulation simulation({ .vms = 40,
                                       .slots = kSlots,
                                       .reportsSlots = true,
                                       .maxConnections = 72,
                                       .writes = kWrites,
                                       .reads = row.reads,
                                       .vmsWithAttributes = 40 },
                                     kSeed);
    simulation.Run(3000ms);
    auto& primary = simulation.Server(0);
    primary.writes = 0;
    primary.writeTime = {};
    const auto before = simulation.Accepted();
    simulation.Run(5000ms);
    const auto writes = static_cast<double>(primary.writes);
    const auto mean =
      std::chrono::duration<double, std::milli>(primary.writeTime) / writes;
    CHECK_TEXT(
      mean <= row.most,
      (std::string(row.name) + ": " + std::to_string(mean.count())).c_str());
    CHECK_TEXT(writes / 5 >= row.writes * kWrites, row.name);
    const auto done = static_cast<double>(simulation.Accepted() - before) / 5;
    CHECK_TEXT(done >= row.done, row.name);
  }
}

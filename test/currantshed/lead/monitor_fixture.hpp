#ifndef CURRANTSHED_TEST_LEAD_MONITOR_FIXTURE_HPP
#define CURRANTSHED_TEST_LEAD_MONITOR_FIXTURE_HPP

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "currantshed/lead/group_monitor.hpp"

namespace currantshed::test {

using namespace std::chrono_literals;
using lead::group_monitor;
using proxy::command_kind;

inline constexpr clock::time_point kStart{ 1h };
inline constexpr auto kStep = 10ms;

/// A server as it appears through its answers.
struct fake_server
{
  bool answers = true;
  /// Answers commands that arrive through other VMs.
  bool answersThroughOthers = false;
  /// Answers that it is busy.
  bool busy = false;
  bool primary = false;
  position::term_id term = 1;
  position::log_position received{ 1, 10 };
  position::term_id fencedAt = 0;
};

/// A group, its monitor at one VM, and the platform that promotes servers.
class monitor_fixture
{
public:
  monitor_fixture()
    : monitor({})
  {
    servers["a"].primary = true;
    servers["b"];
    servers["c"];
    monitor.Configure({ { "a" }, { "b" }, { "c" } }, now);
  }

  /// Advances the time and answers all queries at once.
  void Run(std::chrono::milliseconds aSpan)
  {
    for (const auto end = now + aSpan; now < end; now += kStep) {
      if (recorded != shown) {
        shown = recorded;
        monitor.SetTerms(shown, now);
      }
      monitor.Tick(now);
      Perform();
      ApplyPromotions();
      FailPending();
      if (onStep) {
        onStep();
      }
    }
  }

  [[nodiscard]] int Count(command_kind aKind) const
  {
    const auto found = commandCounts.find(aKind);
    return found == commandCounts.end() ? 0 : found->second;
  }

  group_monitor monitor;
  clock::time_point now = kStart;
  std::map<std::string, fake_server> servers;
  std::map<command_kind, int> commandCounts;
  std::vector<std::string> promoted;
  std::vector<position::term_id> revocations;
  std::vector<proxy::confirmation> confirmations;
  std::vector<proxy::position_sample> samples;
  /// Number of confirmations to be forwarded to other VMs.
  int forwarded = 0;
  bool acceptsRequests = true;
  bool rejectsFirst = false;
  /// The VMs that the store lists; empty while the store does not answer.
  std::optional<std::vector<std::string>> vms{ std::vector<std::string>{} };
  std::function<void()> onStep;
  /// Promotions that have yet to take effect, in order of request.
  struct pending_promotion
  {
    std::string server;
    clock::time_point at;
  };

  std::vector<pending_promotion> pendingPromotions;
  /// Time from a promotion request to its effect.
  std::chrono::milliseconds promotionDelay{ 300 };
  /// Whether the platform responds to requests that it accepts.
  bool answersRequests = true;
  /// Whether requests are neither answered nor time out.
  bool withholdsAnswers = false;
  /// Promotions that took effect while a confirmation of another primary was
  /// valid.
  int unsafePromotions = 0;
  /// Whether a promotion lifts all fences, as the platform does on servers that
  /// it reaches.
  bool liftsFences = false;
  /// Timeout of a query without an answer.
  std::chrono::milliseconds queryTimeout{ 0 };
  /// When regular traffic last heard from servers that do not answer.
  std::optional<clock::time_point> heardAt;
  /// The replaced term that the store shows; empty while the store does not
  /// answer.
  std::optional<position::term_id> replaced{ 0 };
  int storeReads = 0;
  /// The replaced term in the last promotion request.
  position::term_id requestedReplacedTerm = 0;
  /// The replaced terms in the lock's record, as written and as the store shows
  /// it to the monitor with the next step, and the number of writes of them
  /// besides those before orders.
  lead::term_history recorded;
  lead::term_history shown;
  int recordWrites = 0;
  /// Log lines.
  std::vector<std::string> logLines;
  /// Queries that will fail, and when.
  std::vector<std::pair<std::string, clock::time_point>> pendingFailures;

private:
  void Perform()
  {
    for (auto actions = monitor.TakeActions(); !actions.empty();
         actions = monitor.TakeActions()) {
      for (const auto& action : actions) {
        std::visit([this](const auto& aOne) { Do(aOne); }, action);
      }
    }
  }

  void Do(const lead::send_command& aAction)
  {
    ++commandCounts[aAction.command.kind];
    auto& server = servers[aAction.server];
    if (!server.answers && !(server.answersThroughOthers && !aAction.direct)) {
      if (queryTimeout > 0ms) {
        pendingFailures.push_back({ aAction.server, now + queryTimeout });
      } else {
        monitor.ServerFailed(aAction.server, std::nullopt, now);
      }
      return;
    }
    if (server.busy) {
      monitor.ServerAnswered(aAction.server, std::nullopt, now, now);
      return;
    }
    switch (aAction.command.kind) {
      case command_kind::kFence:
        server.fencedAt = aAction.command.term;
        break;
      case command_kind::kUnfence:
        server.fencedAt = 0;
        break;
      case command_kind::kDemote:
        server.primary = false;
        break;
      default:
        break;
    }
    proxy::server_report report;
    report.isPrimary = server.primary;
    report.term = server.term;
    report.received = server.received;
    report.fencedAt = server.fencedAt;
    monitor.ServerAnswered(aAction.server, report, now, now);
  }

  void Do(const lead::request_promotion& aAction)
  {
    requestedReplacedTerm = aAction.terms.replaced;
    recorded = aAction.terms;
    if (!acceptsRequests) {
      monitor.PromotionAnswered(
        aAction.server, lead::promotion_outcome::kRetryLater, now);
      return;
    }
    if (withholdsAnswers) {
      promoted.push_back(aAction.server);
      return;
    }
    const bool rejects = rejectsFirst && promoted.empty();
    promoted.push_back(aAction.server);
    if (!rejects) {
      pendingPromotions.push_back({ aAction.server, now + promotionDelay });
    }
    const auto accepted = answersRequests ? lead::promotion_outcome::kAccepted
                                          : lead::promotion_outcome::kUnknown;
    monitor.PromotionAnswered(aAction.server,
                              rejects ? lead::promotion_outcome::kRejected
                                      : accepted,
                              now);
  }

  void Do(const lead::record_terms& aAction)
  {
    recorded = aAction.terms;
    ++recordWrites;
  }

  void Do(const lead::read_replaced_term&)
  {
    ++storeReads;
    monitor.ReplacedTermRead(replaced, now);
  }

  void Do(const lead::list_vms&)
  {
    if (vms) {
      monitor.VmsListed(*vms, now, now);
    }
  }

  void Do(const lead::publish_confirmation& aAction)
  {
    confirmations.push_back(aAction.confirmation);
    forwarded += aAction.isOwn ? 1 : 0;
  }

  void Do(const lead::publish_sample& aAction)
  {
    samples.push_back(aAction.sample);
  }

  void Do(const lead::publish_revocation& aAction)
  {
    revocations.push_back(aAction.term);
  }

  void Do(const lead::log_step& aAction)
  {
    logLines.push_back(aAction.step + " " + aAction.detail);
  }

  void FailPending()
  {
    for (auto due = pendingFailures; !due.empty(); due.erase(due.begin())) {
      if (now >= due.front().second) {
        pendingFailures.erase(pendingFailures.begin());
        monitor.ServerFailed(due.front().first, heardAt, now);
      }
    }
  }

  void ApplyPromotions()
  {
    while (!pendingPromotions.empty() && now >= pendingPromotions.front().at) {
      const auto promotion = pendingPromotions.front();
      pendingPromotions.erase(pendingPromotions.begin());
      MakePrimary(promotion.server);
    }
  }

  /// Makes the server primary of the next term, unless it is primary already.
  void MakePrimary(const std::string& aServer)
  {
    position::term_id highest = 0;
    for (const auto& [id, one] : servers) {
      highest = std::max(highest, one.term);
    }
    auto& server = servers[aServer];
    if (server.primary && server.term == highest) {
      return;
    }
    const auto& confirmation = monitor.Confirmation();
    const bool isHeld = now < confirmation.askedAt + 1000ms &&
                        confirmation.term > monitor.WatchUpdate().revokedTerm;
    unsafePromotions += isHeld && confirmation.primary != aServer ? 1 : 0;
    server.primary = true;
    server.fencedAt = 0;
    server.term = highest + 1;
    if (liftsFences) {
      for (auto& [id, one] : servers) {
        one.fencedAt = 0;
      }
    }
  }
};

/// Another VM reports that it has just heard from the primary of the first
/// term.
inline void
ReceiveReachUpdate(monitor_fixture& aFixture,
                   const char* aVm,
                   position::term_id aAcknowledgedTerm)
{
  aFixture.monitor.ReachUpdateReceived(
    aVm,
    { 1, "a", aFixture.now, aAcknowledgedTerm, aFixture.now },
    aFixture.now);
}

} // namespace currantshed::test

#endif

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

/// One server as the lead sees it through its answers.
struct fake_server
{
  bool answers = true;
  /// Answers what comes through other VMs.
  bool answersOthers = false;
  /// Answers that it is busy.
  bool busy = false;
  bool primary = false;
  position::term_id term = 1;
  position::log_position received{ 1, 10 };
  position::term_id fencedAt = 0;
};

/// A group, its lead at one VM, and the platform that promotes.
class monitor_fixture
{
public:
  monitor_fixture()
    : lead({})
  {
    servers["a"].primary = true;
    servers["b"];
    servers["c"];
    lead.Configure({ { "a" }, { "b" }, { "c" } }, now);
  }

  /// Lets time pass, answering at once what is asked.
  void Run(std::chrono::milliseconds aSpan)
  {
    for (const auto end = now + aSpan; now < end; now += kStep) {
      lead.Tick(now);
      Perform();
      TakeEffect();
      FailPending();
      if (everyStep) {
        everyStep();
      }
    }
  }

  [[nodiscard]] int Count(command_kind aKind) const
  {
    const auto found = asked.find(aKind);
    return found == asked.end() ? 0 : found->second;
  }

  group_monitor lead;
  clock::time_point now = kStart;
  std::map<std::string, fake_server> servers;
  std::map<command_kind, int> asked;
  std::vector<std::string> promoted;
  std::vector<position::term_id> revocations;
  std::vector<proxy::confirmation> proofs;
  std::vector<proxy::position_sample> samples;
  /// Proofs that others are to be told of.
  int passedOn = 0;
  bool takesOrders = true;
  bool rejectsFirst = false;
  /// The VMs that the store lists; none while it does not answer.
  std::optional<std::vector<std::string>> vms{ std::vector<std::string>{} };
  std::function<void()> everyStep;
  /// Orders that have yet to take effect, in their order.
  struct pending_promotion
  {
    std::string server;
    clock::time_point at;
  };

  std::vector<pending_promotion> promoting;
  /// How long the platform takes from an order to its effect.
  std::chrono::milliseconds promotesAfter{ 300 };
  /// Whether the platform answers orders that it takes.
  bool answersOrders = true;
  /// Promotions that took effect while a proof of another primary held.
  int unsafe = 0;
  /// Whether a promotion lifts every fence, as the platform does for servers
  /// that it reaches.
  bool liftsFences = false;
  /// How long a question without an answer takes to fail.
  std::chrono::milliseconds failsAfter{ 0 };
  /// When traffic heard the servers that do not answer.
  std::optional<clock::time_point> heardAt;
  /// The replaced term that the store shows; none while it does not answer.
  std::optional<position::term_id> replaced{ 0 };
  int checks = 0;
  /// The term that the last order told to replace.
  position::term_id replacedInOrder = 0;
  /// Lines for the log.
  std::vector<std::string> notes;
  /// Questions that are going to fail, and when.
  std::vector<std::pair<std::string, clock::time_point>> pending;

private:
  void Perform()
  {
    for (auto actions = lead.TakeActions(); !actions.empty();
         actions = lead.TakeActions()) {
      for (const auto& action : actions) {
        std::visit([this](const auto& aOne) { Do(aOne); }, action);
      }
    }
  }

  void Do(const lead::send_command& aAction)
  {
    ++asked[aAction.command.kind];
    auto& server = servers[aAction.server];
    if (!server.answers && !(server.answersOthers && !aAction.direct)) {
      if (failsAfter > 0ms) {
        pending.push_back({ aAction.server, now + failsAfter });
      } else {
        lead.ServerFailed(aAction.server, std::nullopt, now);
      }
      return;
    }
    if (server.busy) {
      lead.ServerAnswered(aAction.server, std::nullopt, now, now);
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
    lead.ServerAnswered(aAction.server, report, now, now);
  }

  void Do(const lead::request_promotion& aAction)
  {
    replacedInOrder = aAction.replacedTerm;
    if (!takesOrders) {
      lead.PromotionAnswered(false, false, now);
      return;
    }
    const bool rejects = rejectsFirst && promoted.empty();
    promoted.push_back(aAction.server);
    if (!rejects) {
      promoting.push_back({ aAction.server, now + promotesAfter });
    }
    lead.PromotionAnswered(!rejects && answersOrders, rejects, now);
  }

  void Do(const lead::read_replaced_term&)
  {
    ++checks;
    lead.ReplacedTermRead(replaced, now);
  }

  void Do(const lead::list_vms&)
  {
    if (vms) {
      lead.VmsListed(*vms, now, now);
    }
  }

  void Do(const lead::publish_confirmation& aAction)
  {
    proofs.push_back(aAction.confirmation);
    passedOn += aAction.isOwn ? 1 : 0;
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
    notes.push_back(aAction.step + " " + aAction.detail);
  }

  void FailPending()
  {
    for (auto due = pending; !due.empty(); due.erase(due.begin())) {
      if (now >= due.front().second) {
        pending.erase(pending.begin());
        lead.ServerFailed(due.front().first, heardAt, now);
      }
    }
  }

  void TakeEffect()
  {
    while (!promoting.empty() && now >= promoting.front().at) {
      const auto promotion = promoting.front();
      promoting.erase(promoting.begin());
      Lead(promotion.server);
    }
  }

  /// The server leads the next term, unless it leads already.
  void Lead(const std::string& aServer)
  {
    position::term_id highest = 0;
    for (const auto& [id, one] : servers) {
      highest = std::max(highest, one.term);
    }
    auto& server = servers[aServer];
    if (server.primary && server.term == highest) {
      return;
    }
    const auto& confirmation = lead.Confirmation();
    const bool isHeld = now < confirmation.askedAt + 1000ms &&
                        confirmation.term > lead.WatchUpdate().revokedTerm;
    unsafe += isHeld && confirmation.primary != aServer ? 1 : 0;
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

/// Another VM tells that it has just heard the primary of the first term.
inline void
ReachOf(monitor_fixture& aBench, const char* aVm, position::term_id aObeyed)
{
  aBench.lead.ReachUpdateReceived(
    aVm, { 1, "a", aBench.now, aObeyed, aBench.now }, aBench.now);
}

} // namespace currantshed::test

#endif

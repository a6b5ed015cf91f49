#include "test/currantshed/gateway/engine_fixture.hpp"

#include <utility>
#include <variant>

#include "currantshed/gateway/transaction_handle.hpp"
#include "currantshed/member/membership.hpp"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace currantshed::gateway::test {

namespace {

policy::work_class
Rule(const char* aName, policy::access aKind, bool aRepeatable)
{
  policy::work_class rule;
  rule.name = aName;
  rule.kind = aKind;
  rule.repeatable = aRepeatable;
  rule.deadline = 2000ms;
  return rule;
}

const char*
Name(group::operation aKind)
{
  constexpr const char* kNames[] = { "read",      "write",    "begin",
                                     "statement", "commit",   "rollback",
                                     "resolve",   "reconfirm" };
  return kNames[static_cast<int>(aKind)];
}

const char*
Name(outcome::verdict aVerdict)
{
  constexpr const char* kNames[] = { "done", "not_run", "unknown", "refused" };
  return kNames[static_cast<int>(aVerdict)];
}

} // namespace

session::key_ring
Ring(const char* aText)
{
  session::key_ring ring;
  CHECK(!ring.Parse(aText));
  return ring;
}

fleet_view
SampleView()
{
  fleet_view seen;
  seen.version = 1;
  seen.owners = 3;
  seen.groups = { kGroup, "planner" };
  for (const char* name : { "vm-a", "vm-b", "vm-c", "vm-d" }) {
    store::vm vm;
    vm.id = name;
    vm.failureDomain = std::string("domain-") + name;
    seen.live.push_back(vm);
  }
  return seen;
}

class_rules
SampleConfiguration(std::uint64_t aVersion)
{
  class_rules made;
  made.version = aVersion;
  made.classes = { Rule("lookup", policy::access::kRead, true),
                   Rule("report", policy::access::kWrite, false),
                   Rule("draft", policy::access::kWrite, true),
                   Rule("planning", policy::access::kWrite, false) };
  made.classes.back().groups = { "planner" };
  made.classes[0].servedIn = { "reads" };
  made.classes[1].servedIn = { "depot" };
  made.classes[2].servedIn = { "depot", "hall" };
  made.classes[3].servedIn = { "planning" };
  return made;
}

outcome::idempotency_key
GeneratedKey(std::uint64_t aNumber)
{
  return outcome::idempotency_key::Make(clock::wall_time(1000s), 1, aNumber);
}

caller_request
Call(const char* aClass, call_kind aKind)
{
  caller_request made;
  made.kind = aKind;
  made.workClass = aClass;
  made.group = kGroup;
  made.session = "new";
  if (aKind == call_kind::kStatements || aKind == call_kind::kStatement) {
    made.statements = { { "SELECT 1", {} } };
  }
  return made;
}

std::string
TransactionId(const std::string& aVm)
{
  return MakeTransactionId(
    { aVm, "life-1", 9, "report", kGroup, GeneratedKey(77) }, Ring());
}

group::answer
Answer(outcome::verdict aVerdict, outcome::reason aWhy)
{
  group::answer made;
  made.verdict = aVerdict;
  made.why = aWhy;
  if (aVerdict == outcome::verdict::kDone) {
    made.position = { 3, 50 };
  }
  return made;
}

session::position_vector
Seen(const char* aGroup, position::log_position aPosition)
{
  session::position_vector seen;
  seen.AdvanceTo(aGroup, aPosition);
  return seen;
}

engine_fixture::engine_fixture()
  : mEngine(MakeEngine({}, Ring()))
{
  CHECK(mEngine->Configure(SampleConfiguration()));
  mEngine->ViewChanged(SampleView(), now);
  for (const auto& vm : member::ChooseOwners(kGroup, SampleView().live, 3)) {
    owners.push_back(vm.id);
  }
}

void
engine_fixture::Submit(caller_request aRequest)
{
  aRequest.number = ++mNumber;
  aRequest.generatedKey = GeneratedKey(mNumber);
  mEngine->Submit(std::move(aRequest), now);
  CollectActions();
}

void
engine_fixture::Reply(group::answer aAnswer)
{
  aAnswer.request = sent.request.id;
  mEngine->PoolerAnswered(std::move(aAnswer), "life-1", now);
  CollectActions();
}

void
engine_fixture::Advance(std::chrono::milliseconds aTime)
{
  now += aTime;
  mEngine->Tick(now);
  CollectActions();
}

void
engine_fixture::CollectActions()
{
  for (auto& next : mEngine->TakeActions()) {
    if (auto* message = std::get_if<send_to_pooler>(&next)) {
      sent = *message;
      Log(std::string(Name(sent.request.kind)) + "@" + Rank(sent.vm));
    } else if (auto* gone = std::get_if<cancel_at_pooler>(&next)) {
      Log("cancel@" + Rank(gone->vm));
    } else {
      given = std::get<give_answer>(next);
      ++answers;
      Log(Name(given.answer.verdict));
    }
  }
}

void
engine_fixture::Log(const std::string& aText)
{
  log += (log.empty() ? "" : " ") + aText;
}

std::string
engine_fixture::Rank(const std::string& aVm) const
{
  for (std::size_t at = 0; at < owners.size(); ++at) {
    if (owners[at] == aVm) {
      return std::to_string(at);
    }
  }
  return aVm;
}

} // namespace currantshed::gateway::test

#include "currantshed/ctl/verbs.hpp"

#include <functional>
#include <map>
#include <sstream>

#include <absl/strings/str_cat.h>

#include "currantshed/ctl/sleep_clock.hpp"
#include "currantshed/store/fake_client.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using ctl::exit_code;

namespace {

constexpr const char* kOld = "classes:\n"
                             "  a: {access: read, served_in: [x], "
                             "max_staleness: 1s, may_be_repeated: yes, "
                             "deadline: 1s}\n";
constexpr const char* kNew = "classes:\n"
                             "  a: {access: read, served_in: [x], "
                             "max_staleness: 2s, may_be_repeated: yes, "
                             "deadline: 1s}\n";
constexpr const char* kBroken = "classes:\n  a: {weight: 1}\n";

std::string
Record(std::uint64_t aVersion, const char* aChange, const char* aText)
{
  return policy::PrintConfigurationRecord({ aVersion, aChange, aText });
}

/// Simulated VMs by address, each with the response of its status port.
struct fake_fetcher : http::fetcher
{
  std::map<std::string, std::string> answers;
  std::function<void()> onFetch;

  std::vector<http::fetch_result> Fetch(const std::vector<std::string>& aUrls,
                                        std::chrono::milliseconds) override
  {
    if (onFetch) {
      onFetch();
    }
    std::vector<http::fetch_result> all;
    for (const auto& url : aUrls) {
      const auto found = answers.find(url);
      if (found == answers.end()) {
        all.push_back({ 0, "", "refused" });
      } else {
        all.push_back({ 200, found->second, "" });
      }
    }
    return all;
  }

  void Answer(const std::string& aVm, const std::string& aRest, int aPort = 9)
  {
    answers[absl::StrCat("http://", aVm, ":", aPort, "/status")] =
      absl::StrCat("{\"vm\":\"", aVm, "\",\"ready\":true,", aRest, "}");
  }
};

struct fake_clock : ctl::sleep_clock
{
  clock::time_point now;
  clock::time_point Now() override { return now; }
  void Sleep(std::chrono::milliseconds aTime) override { now += aTime; }
};

store::vm
Vm(const std::string& aName, bool aLeaving = false)
{
  return { aName, aName, "x", 7, 8, 9, aLeaving };
}

/// The commands with a simulated platform, VMs and clock.
struct fixture
{
  static constexpr std::chrono::milliseconds kPollTime{ 10 };

  store::fake_client store;
  fake_fetcher vms;
  fake_clock time;
  std::ostringstream out;
  std::ostringstream errors;
  ctl::blocking_platform blocking{ store, [this] {
                                    time.now += kPollTime;
                                    store.Run(time.now);
                                  } };

  void Store(std::uint64_t aVersion, const char* aChange, const char* aText)
  {
    store.Put(std::string(policy::kConfigurationKey),
              Record(aVersion, aChange, aText));
  }

  ctl::verbs Verbs(ctl::output aFormat = ctl::output::kText)
  {
    return { blocking, vms, time, { aFormat, out, errors } };
  }

  [[nodiscard]] std::uint64_t InForce() const
  {
    const auto found = store.Peek(std::string(policy::kConfigurationKey));
    const auto record = policy::ParseConfigurationRecord(found.value);
    return record ? record->version : 0;
  }
};

using verb_call = std::function<exit_code(ctl::verbs)>;

verb_call
Apply(const char* aText,
      std::optional<std::uint64_t> aExpected = std::nullopt,
      bool aAskedBefore = false)
{
  return [=](ctl::verbs aVerbs) {
    ctl::apply_options order;
    order.expected = aExpected;
    order.change = "own";
    order.askedBefore = aAskedBefore;
    order.timeout = std::chrono::seconds(2);
    return aVerbs.Apply({ "f", aText }, order);
  };
}

verb_call
WaitForGateways(std::uint64_t aVersion)
{
  return [=](ctl::verbs aVerbs) {
    ctl::query_options options;
    options.gateways = ctl::gateway_port{ 1, true };
    return aVerbs.Wait(aVersion, std::chrono::seconds(1), options);
  };
}

verb_call
Wait(std::uint64_t aVersion)
{
  return [=](ctl::verbs aVerbs) {
    return aVerbs.Wait(aVersion, std::chrono::seconds(1), {});
  };
}

struct verb_row
{
  const char* name;
  std::function<void(fixture&)> given;
  verb_call when;
  exit_code expect;
  std::uint64_t inForce;
  const char* out;
  const char* errors;
};

void
NoSetup(fixture& /*aFixture*/)
{
}

void
StoreOld(fixture& aFixture)
{
  aFixture.Store(7, "before", kOld);
}

/// Stores version 8, made by the given change on top of the old version, and
/// version 9 on top of it.
void
StoreLater(fixture& aFixture, const char* aChange)
{
  const auto eighth =
    policy::NextConfigurationRecord({ 7, "before", kOld }, aChange, kNew);
  aFixture.store.Put(std::string(policy::kConfigurationKey),
                     policy::PrintConfigurationRecord(
                       policy::NextConfigurationRecord(eighth, "last", kOld)));
}

const verb_row kRows[] = {
  { "validate: good",
    NoSetup,
    [](ctl::verbs aVerbs) {
      return aVerbs.Validate({ "f", kOld });
    },
    exit_code::kOk,
    0,
    "f: valid, 1 classes\n",
    "" },
  { "validate: every fault",
    NoSetup,
    [](ctl::verbs aVerbs) {
      return aVerbs.Validate({ "f", "classes: {}\nx: 1\n" });
    },
    exit_code::kInvalidDeclaration,
    0,
    "",
    "f:1:1: classes must have at least one class\n"
    "f:2:1: unknown key 'x' in the declaration; known are: classes, "
    "groups\n" },
  { "diff",
    StoreOld,
    [](ctl::verbs aVerbs) {
      return aVerbs.Diff({ "f", kNew });
    },
    exit_code::kOk,
    7,
    "against version 7:\n~ class a max_staleness: 1s -> 2s\n",
    "" },
  { "diff against nothing",
    NoSetup,
    [](ctl::verbs aVerbs) {
      return aVerbs.Diff({ "f", kNew });
    },
    exit_code::kOk,
    0,
    "against version 0:\n+ class a\n",
    "" },
  { "diff: the platform is down",
    [](fixture& aFixture) { aFixture.store.SetOutage(true); },
    [](ctl::verbs aVerbs) {
      return aVerbs.Diff({ "f", kNew });
    },
    exit_code::kPlatformUnreachable,
    0,
    "",
    "platform unavailable: " },
  { "apply: the first one",
    NoSetup,
    Apply(kNew, 0),
    exit_code::kOk,
    1,
    "applied as version 1 (change own)\n",
    "" },
  { "apply: the next one",
    StoreOld,
    Apply(kNew, 7),
    exit_code::kOk,
    8,
    "applied as version 8 (change own)\n",
    "" },
  { "apply: against what is in force",
    StoreOld,
    Apply(kNew),
    exit_code::kOk,
    8,
    "applied as version 8 (change own)\n",
    "" },
  { "apply: the same again",
    StoreOld,
    Apply(kOld, 7),
    exit_code::kOk,
    7,
    "already in force as version 7\n",
    "" },
  { "apply: the operator saw an older version",
    StoreOld,
    Apply(kNew, 6),
    exit_code::kLostRace,
    7,
    "",
    "not applied, version conflict: expected version 6, in force is version 7. "
    "Compare with 'show' and 'diff'.\n" },
  { "apply: not valid",
    StoreOld,
    Apply(kBroken),
    exit_code::kInvalidDeclaration,
    7,
    "",
    "f:2:3: class 'a' lacks access\n" },
  { "apply: the answer was lost after the effect",
    [](fixture& aFixture) {
      StoreOld(aFixture);
      aFixture.store.LoseAfterEffect(1);
    },
    Apply(kNew, 7),
    exit_code::kOk,
    8,
    "applied as version 8 (change own)\n",
    "" },
  { "apply: the answer was lost before the effect",
    [](fixture& aFixture) {
      StoreOld(aFixture);
      aFixture.store.LoseBeforeEffect(2);
    },
    Apply(kNew, 7),
    exit_code::kOk,
    8,
    "applied as version 8 (change own)\n",
    "" },
  { "apply: never an answer",
    [](fixture& aFixture) {
      StoreOld(aFixture);
      aFixture.store.LoseBeforeEffect(1000);
    },
    Apply(kNew, 7),
    exit_code::kOutcomeUnknown,
    7,
    "",
    "unknown whether it was applied. Retry with: apply FILE "
    "--expect-version 7 --change own\n" },
  { "apply: the platform is down",
    [](fixture& aFixture) {
      StoreOld(aFixture);
      aFixture.store.SetOutage(true);
    },
    Apply(kNew, 7),
    exit_code::kPlatformUnreachable,
    7,
    "",
    "platform unavailable: " },
  { "apply: the platform is down for a moment",
    [](fixture& aFixture) {
      StoreOld(aFixture);
      aFixture.store.LoseBeforeEffect(3);
    },
    Apply(kNew, 7),
    exit_code::kOk,
    8,
    "applied as version 8 (change own)\n",
    "" },
  { "apply again: it was made, and others built on it",
    [](fixture& aFixture) { StoreLater(aFixture, "own"); },
    Apply(kNew, 7, true),
    exit_code::kOk,
    9,
    "applied as version 8 (change own)\n",
    "" },
  { "apply again: another took its place",
    [](fixture& aFixture) { StoreLater(aFixture, "other"); },
    Apply(kNew, 7, true),
    exit_code::kLostRace,
    9,
    "",
    "not applied, version conflict: expected version 7, in force is version "
    "9. " },
  { "apply again: it was not made before",
    StoreOld,
    Apply(kNew, 7, true),
    exit_code::kOk,
    8,
    "applied as version 8 (change own)\n",
    "" },
  { "apply: what is stored is no configuration",
    [](fixture& aFixture) {
      aFixture.store.Put(std::string(policy::kConfigurationKey), "{}");
    },
    Apply(kNew, 7),
    exit_code::kPlatformUnreachable,
    0,
    "",
    "platform unavailable: the stored configuration can't be read\n" },
  { "show",
    StoreOld,
    [](ctl::verbs aVerbs) { return aVerbs.Show(); },
    exit_code::kOk,
    7,
    "# version 7, change before\nclasses:\n",
    "" },
  { "show nothing",
    NoSetup,
    [](ctl::verbs aVerbs) { return aVerbs.Show(); },
    exit_code::kOk,
    0,
    "nothing is in force yet\n",
    "" },
  { "wait: all have it, or a higher one",
    [](fixture& aFixture) {
      aFixture.store.SetListing({ { Vm("m1"), Vm("m2"), Vm("m3", true) }, {} });
      aFixture.vms.Answer("m1", "\"configuration_version\":7");
      aFixture.vms.Answer("m2", "\"configuration_version\":8");
    },
    Wait(7),
    exit_code::kOk,
    0,
    "version 7 is on all 2 VMs\n",
    "" },
  { "wait: until it comes",
    [](fixture& aFixture) {
      aFixture.store.SetListing({ { Vm("m1") }, {} });
      aFixture.vms.onFetch = [&aFixture, round = 0]() mutable {
        aFixture.vms.Answer(
          "m1", absl::StrCat("\"configuration_version\":", ++round));
      };
    },
    Wait(3),
    exit_code::kOk,
    0,
    "version 3 is on all 1 VMs\n",
    "" },
  { "wait: no time left",
    [](fixture& aFixture) {
      aFixture.store.SetListing({ { Vm("m1"), Vm("m2"), Vm("m3") }, {} });
      aFixture.vms.Answer("m1", "\"configuration_version\":7");
      aFixture.vms.Answer("m2", "\"configuration_version\":6");
    },
    Wait(7),
    exit_code::kTimeout,
    0,
    "",
    "timed out; version 7 is missing on 2 of 3 live VMs\n"
    "  m2 has version 6\n  m3: refused\n" },
  { "wait: gateways have it as well",
    [](fixture& aFixture) {
      aFixture.store.SetListing({ { Vm("m1") }, {} });
      aFixture.vms.Answer("m1", "\"configuration_version\":7");
      aFixture.vms.Answer("m1", "\"configuration_version\":7", 10);
    },
    WaitForGateways(7),
    exit_code::kOk,
    0,
    "version 7 is on all 1 VMs\n",
    "" },
  { "wait: a gateway lags, another is not there",
    [](fixture& aFixture) {
      aFixture.store.SetListing({ { Vm("m1"), Vm("m2") }, {} });
      aFixture.vms.Answer("m1", "\"configuration_version\":7");
      aFixture.vms.Answer("m1", "\"configuration_version\":6", 10);
      aFixture.vms.Answer("m2", "\"configuration_version\":7");
    },
    WaitForGateways(7),
    exit_code::kTimeout,
    0,
    "",
    "timed out; version 7 is missing on 2 of 2 live VMs\n"
    "  m1 has version 6\n  m2: gateway: refused\n" },
  { "wait: no VM at all is no success",
    NoSetup,
    Wait(7),
    exit_code::kTimeout,
    0,
    "",
    "timed out; version 7 is missing on 0 of 0 live VMs\n" },
  { "wait: the platform is down",
    [](fixture& aFixture) { aFixture.store.SetOutage(true); },
    Wait(7),
    exit_code::kPlatformUnreachable,
    0,
    "",
    "platform unavailable: " },
  { "status",
    [](fixture& aFixture) {
      aFixture.store.SetListing({ { Vm("m2"), Vm("m1") }, {} });
      aFixture.vms.Answer("m1",
                          "\"configuration_version\":7,\"groups\":[{\"group\":"
                          "\"g1\",\"term\":3,\"primary\":\"s2\",\"rank\":0},"
                          "{\"group\":\"g2\",\"term\":1,\"primary\":\"s9\"}]");
    },
    [](ctl::verbs aVerbs) { return aVerbs.Status({}); },
    exit_code::kOk,
    0,
    "VM                   FAILURE DOMAIN       VERSION  STATE\n"
    "m1                   x                    7        ready\n"
    "m2                   x                    -        no status (refused)\n"
    "\n"
    "GROUP                    OWNER                RANK   TERM     PRIMARY\n"
    "g1                       m1                   0      3        s2\n",
    "" },
};

} // namespace

TEST_GROUP(ctl_verbs){};

TEST(ctl_verbs, table)
{
  for (const auto& row : kRows) {
    fixture given;
    row.given(given);
    const auto ended = row.when(given.Verbs());
    LONGS_EQUAL_TEXT(
      static_cast<int>(row.expect), static_cast<int>(ended), row.name);
    LONGS_EQUAL_TEXT(row.inForce, given.InForce(), row.name);
    STRNCMP_EQUAL_TEXT(
      row.out, given.out.str().c_str(), std::string(row.out).size(), row.name);
    STRNCMP_EQUAL_TEXT(row.errors,
                       given.errors.str().c_str(),
                       std::string(row.errors).size(),
                       row.name);
    CHECK_EQUAL_TEXT(
      std::string(row.out).empty(), given.out.str().empty(), row.name);
    CHECK_EQUAL_TEXT(
      std::string(row.errors).empty(), given.errors.str().empty(), row.name);
  }
}

TEST(ctl_verbs, json_results_are_one_line_on_the_output_stream)
{
  for (const auto& row : kRows) {
    fixture given;
    row.given(given);
    static_cast<void>(row.when(given.Verbs(ctl::output::kJson)));
    const std::string text = given.out.str();
    LONGS_EQUAL_TEXT(text.size() - 1, text.find('\n'), row.name);
    CHECK_TEXT(text.find("\"end\":\"") != std::string::npos, row.name);
    STRCMP_EQUAL_TEXT("", given.errors.str().c_str(), row.name);
  }
}

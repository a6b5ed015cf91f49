#include "currantshed/load/report.hpp"

#include <algorithm>
#include <ostream>
#include <utility>

#include <boost/json.hpp>

namespace currantshed::load {

namespace {

namespace json = boost::json;

constexpr double kMicrosPerMilli = 1000.0;
constexpr double kHundred = 100.0;

double
Milliseconds(std::chrono::microseconds aTime)
{
  return static_cast<double>(aTime.count()) / kMicrosPerMilli;
}

double
ReplicaShare(const findings& aFindings)
{
  if (aFindings.reads == 0) {
    return 0;
  }
  return static_cast<double>(aFindings.replicaReads) /
         static_cast<double>(aFindings.reads);
}

json::value
GapOf(const failover_gap& aGap)
{
  return aGap.gap ? json::value(Milliseconds(*aGap.gap)) : json::value(nullptr);
}

/// The longest gap; null if there was no cut, or if a group did not recover.
json::value
LongestGap(const findings& aFindings)
{
  json::value longest = nullptr;
  double most = -1;
  for (const failover_gap& gap : aFindings.gaps) {
    if (!gap.gap) {
      return nullptr;
    }
    if (Milliseconds(*gap.gap) > most) {
      most = Milliseconds(*gap.gap);
      longest = most;
    }
  }
  return longest;
}

json::object
Gaps(const findings& aFindings)
{
  json::object gaps;
  for (const failover_gap& gap : aFindings.gaps) {
    gaps[gap.group] = GapOf(gap);
  }
  return gaps;
}

json::object
LatencyOf(const latency_summary& aSummary)
{
  return { { "count", aSummary.count },
           { "p50_ms", Milliseconds(aSummary.p50) },
           { "p99_ms", Milliseconds(aSummary.p99) } };
}

json::object
Classes(const findings& aFindings)
{
  json::object classes;
  for (const auto& [work, summary] : aFindings.classes) {
    json::object object = LatencyOf(summary.done);
    object["requests"] = summary.requests;
    object["met_deadline"] = summary.met;
    object["not_run"] = LatencyOf(summary.notRun);
    classes[work] = std::move(object);
  }
  return classes;
}

std::string_view
NameOf(change_outcome aOutcome)
{
  constexpr std::string_view kNames[] = {
    "done", "not_run", "refused", "abandoned", "unknown"
  };
  return kNames[static_cast<std::size_t>(aOutcome)];
}

std::string_view
NameOf(exchange_result aEnd)
{
  constexpr std::string_view kNames[] = { "answered", "not_sent", "cut_off" };
  return kNames[static_cast<std::size_t>(aEnd)];
}

json::object
RecordOf(const answer_record& aAnswer)
{
  return { { "kind", "answer" },
           { "class", aAnswer.work },
           { "outcome", NameOf(aAnswer.outcome) },
           { "end", NameOf(aAnswer.end) },
           { "port", aAnswer.trace.port },
           { "earlier_exchanges", aAnswer.trace.earlierExchanges },
           { "unused_us", aAnswer.trace.idle.count() },
           { "fault", aAnswer.trace.fault },
           { "reason", aAnswer.reason },
           { "key", aAnswer.key },
           { "token", aAnswer.token },
           { "served_by", aAnswer.servedBy },
           { "replica", aAnswer.byReplica },
           { "sent_us", aAnswer.sent.count() },
           { "latency_us", aAnswer.latency.count() },
           { "answered_wall_us", aAnswer.wall.count() } };
}

json::object
RecordOf(const change_record& aChange)
{
  return { { "kind", "change" },
           { "group", aChange.group },
           { "change", aChange.change },
           { "key", aChange.key },
           { "outcome", NameOf(aChange.outcome) },
           { "sent_us", aChange.sent.count() },
           { "answered_us", aChange.answered.count() } };
}

} // namespace

std::string
ReportJson(const findings& aFindings, std::chrono::milliseconds aLength)
{
  json::array violations(aFindings.violations.begin(),
                         aFindings.violations.end());
  return json::serialize(json::object{
    { "requests", aFindings.requests },
    { "acknowledged", aFindings.acknowledged },
    { "not_run", aFindings.notRun },
    { "unknown", aFindings.unknown },
    { "refused", aFindings.refused },
    { "lost", aFindings.lost },
    { "doubled", aFindings.duplicated },
    { "false_not_run", aFindings.falseNotRun },
    { "ryw_breaches", aFindings.readYourWritesViolations },
    { "stale_breaches", aFindings.stalenessViolations },
    { "mixed_transactions", aFindings.fracturedReads },
    { "cut_off", aFindings.cutOff },
    { "unchecked", aFindings.unchecked },
    { "activities", aFindings.activities },
    { "missed_starts", aFindings.missedStarts },
    { "reads", aFindings.reads },
    { "replica_read_share", ReplicaShare(aFindings) },
    { "failover_gap_ms", LongestGap(aFindings) },
    { "failover_gaps_ms", Gaps(aFindings) },
    { "classes", Classes(aFindings) },
    { "length_ms", aLength.count() },
    { "kept", HasNoViolations(aFindings) },
    { "breaches", std::move(violations) },
  });
}

std::string
ReportText(const findings& aFindings)
{
  const auto line = [](std::string_view aName, std::uint64_t aCount) {
    std::string text(aName);
    text.resize(std::max<std::size_t>(text.size(), 24), ' ');
    return text + std::to_string(aCount) + "\n";
  };
  std::string text = line("requests", aFindings.requests);
  text += line("changes acknowledged", aFindings.acknowledged);
  text += line("changes not run", aFindings.notRun);
  text += line("changes unknown", aFindings.unknown);
  text += line("changes refused", aFindings.refused);
  text += line("lost", aFindings.lost);
  text += line("doubled", aFindings.duplicated);
  text += line("false not run", aFindings.falseNotRun);
  text += line("read-your-writes", aFindings.readYourWritesViolations);
  text += line("stale beyond bound", aFindings.stalenessViolations);
  text += line("mixed transactions", aFindings.fracturedReads);
  text += line("requests cut off", aFindings.cutOff);
  text += line("changes unchecked", aFindings.unchecked);
  const double share = ReplicaShare(aFindings) * kHundred;
  text += line("reads by replicas, %", static_cast<std::uint64_t>(share));
  for (const failover_gap& gap : aFindings.gaps) {
    const std::string name = "failover gap " + gap.group;
    text += name + ": ";
    text += gap.gap ? std::to_string(gap.gap->count() / 1000) + " ms\n"
                    : std::string("no write afterwards\n");
  }
  for (const std::string& violation : aFindings.violations) {
    text += "BREACH " + violation + "\n";
  }
  return text;
}

void
WriteRecords(std::ostream& aTarget, const history& aHistory)
{
  for (const answer_record& answer : aHistory.answers) {
    aTarget << json::serialize(RecordOf(answer)) << '\n';
  }
  for (const change_record& change : aHistory.changes) {
    aTarget << json::serialize(RecordOf(change)) << '\n';
  }
}

} // namespace currantshed::load

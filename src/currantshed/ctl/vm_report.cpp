#include "currantshed/ctl/vm_report.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace currantshed::ctl {
namespace {

constexpr long kOk = 200;
constexpr const char* kNone = "-";

std::string
TextAt(const boost::json::object& aObject, const char* aName)
{
  const auto* const value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  const auto& text = value->get_string();
  return { text.data(), text.size() };
}

std::uint64_t
NumberAt(const boost::json::object& aObject, const char* aName)
{
  const auto* const value = aObject.if_contains(aName);
  boost::system::error_code error;
  const auto number =
    value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
  return error ? 0 : number;
}

std::string
RankOf(const boost::json::object& aObject)
{
  const auto* const value = aObject.if_contains("rank");
  if (value == nullptr || !value->is_number()) {
    return kNone;
  }
  const auto rank = value->to_number<std::int64_t>();
  return rank < 0 ? kNone : absl::StrCat(rank);
}

std::vector<group_report>
ReadGroups(const boost::json::object& aStatus)
{
  std::vector<group_report> groups;
  const auto* const list = aStatus.if_contains("groups");
  if (list == nullptr || !list->is_array()) {
    return groups;
  }
  for (const auto& item : list->get_array()) {
    if (!item.is_object()) {
      continue;
    }
    const auto& one = item.get_object();
    groups.push_back({ TextAt(one, "group"),
                       NumberAt(one, "term"),
                       TextAt(one, "primary"),
                       RankOf(one) });
  }
  return groups;
}

std::string
OrNone(const std::string& aText)
{
  return aText.empty() ? kNone : aText;
}

std::string
StateOf(const vm_report& aReport)
{
  if (!aReport.answered) {
    return absl::StrCat("no status (", aReport.error, ")");
  }
  const char* const ready = aReport.ready ? "ready" : "not ready";
  return aReport.vm.leaving ? absl::StrCat(ready, ", leaving") : ready;
}

void
PrintOwners(const std::vector<vm_report>& aReports, std::string& aText)
{
  absl::StrAppendFormat(&aText,
                        "\n%-24s %-20s %-6s %-8s %s\n",
                        "GROUP",
                        "OWNER",
                        "RANK",
                        "TERM",
                        "PRIMARY");
  for (const auto& report : aReports) {
    for (const auto& one : report.groups) {
      if (one.rank != kNone) {
        absl::StrAppendFormat(&aText,
                              "%-24s %-20s %-6s %-8d %s\n",
                              one.group,
                              report.vm.id,
                              one.rank,
                              one.term,
                              OrNone(one.primary));
      }
    }
  }
}

/// URLs of the poolers' status, followed by those of the gateways if requested.
std::vector<std::string>
StatusUrls(const std::vector<store::vm>& aVms,
           const std::optional<gateway_port>& aGateways)
{
  std::vector<std::string> urls;
  urls.reserve(2 * aVms.size());
  for (const auto& vm : aVms) {
    urls.push_back(http::MakeUrl(vm.address, vm.statusPort, "/status"));
  }
  if (!aGateways) {
    return urls;
  }
  for (const auto& vm : aVms) {
    urls.push_back(
      http::MakeUrl(vm.address, GatewayPortOf(vm, *aGateways), "/status"));
  }
  return urls;
}

} // namespace

vm_report
ReadReport(const store::vm& aVm, const http::fetch_result& aAnswer)
{
  vm_report report;
  report.vm = aVm;
  if (aAnswer.status != kOk) {
    report.error = aAnswer.status == 0
                     ? aAnswer.error
                     : absl::StrCat("HTTP status ", aAnswer.status);
    return report;
  }
  boost::system::error_code error;
  const auto value = boost::json::parse(aAnswer.body, error);
  if (error || !value.is_object()) {
    report.error = "its status is not a JSON object";
    return report;
  }
  const auto& status = value.get_object();
  const std::string named = TextAt(status, "vm");
  if (named != aVm.id) {
    report.error = absl::StrCat("VM '", named, "' answers at this address");
    return report;
  }
  report.answered = true;
  report.incarnation = TextAt(status, "incarnation");
  const auto* const ready = status.if_contains("ready");
  report.ready = ready != nullptr && ready->is_bool() && ready->get_bool();
  report.version = NumberAt(status, "configuration_version");
  report.groups = ReadGroups(status);
  return report;
}

vm_report
JoinReports(vm_report aPooler, const vm_report& aGateway)
{
  if (!aPooler.answered) {
    return aPooler;
  }
  if (!aGateway.answered) {
    aPooler.answered = false;
    aPooler.error = absl::StrCat("gateway: ", aGateway.error);
    return aPooler;
  }
  aPooler.ready = aPooler.ready && aGateway.ready;
  aPooler.version = std::min(aPooler.version, aGateway.version);
  return aPooler;
}

std::vector<vm_report>
QueryVms(const std::vector<store::vm>& aVms,
         const std::optional<gateway_port>& aGateways,
         http::fetcher& aFetcher,
         std::chrono::milliseconds aTimeout)
{
  const auto answers = aFetcher.Fetch(StatusUrls(aVms, aGateways), aTimeout);
  std::vector<vm_report> reports;
  reports.reserve(aVms.size());
  for (std::size_t i = 0; i < aVms.size(); ++i) {
    auto report = ReadReport(aVms[i], answers[i]);
    if (aGateways) {
      const auto gateway = ReadReport(aVms[i], answers[aVms.size() + i]);
      report = JoinReports(std::move(report), gateway);
    }
    reports.push_back(std::move(report));
  }
  std::sort(reports.begin(),
            reports.end(),
            [](const vm_report& aLeft, const vm_report& aRight) {
              return aLeft.vm.id < aRight.vm.id;
            });
  return reports;
}

std::string
PrintReports(const std::vector<vm_report>& aReports)
{
  std::string text = absl::StrFormat(
    "%-20s %-20s %-8s %s\n", "VM", "FAILURE DOMAIN", "VERSION", "STATE");
  for (const auto& one : aReports) {
    absl::StrAppendFormat(&text,
                          "%-20s %-20s %-8s %s\n",
                          one.vm.id,
                          one.vm.failureDomain,
                          one.answered ? absl::StrCat(one.version) : kNone,
                          StateOf(one));
  }
  PrintOwners(aReports, text);
  return text;
}

boost::json::object
ReportToJson(const vm_report& aReport)
{
  boost::json::object item{ { "vm", aReport.vm.id },
                            { "failure_domain", aReport.vm.failureDomain },
                            { "leaving", aReport.vm.leaving },
                            { "answered", aReport.answered } };
  if (!aReport.answered) {
    item["error"] = aReport.error;
    return item;
  }
  item["ready"] = aReport.ready;
  item["incarnation"] = aReport.incarnation;
  item["configuration_version"] = aReport.version;
  boost::json::array groups;
  for (const auto& one : aReport.groups) {
    groups.push_back(boost::json::object{ { "group", one.group },
                                          { "term", one.term },
                                          { "primary", one.primary },
                                          { "rank", one.rank } });
  }
  item["groups"] = std::move(groups);
  return item;
}

} // namespace currantshed::ctl

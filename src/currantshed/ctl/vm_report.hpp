#ifndef CURRANTSHED_CTL_VM_REPORT_HPP
#define CURRANTSHED_CTL_VM_REPORT_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include "currantshed/ctl/fwd.hpp"
#include "currantshed/ctl/gateway_port.hpp"
#include "currantshed/http/fetcher.hpp"
#include "currantshed/store/client.hpp"

namespace currantshed::ctl {

/// Status of one group as reported by one VM.
struct group_report
{
  std::string group;
  std::uint64_t term = 0;
  std::string primary;
  /// Rank among the group's owners as text; "-" if the VM is not an owner.
  std::string rank;
};

/// Status reported by one VM of the platform's list.
struct vm_report
{
  store::vm vm;
  /// Whether it returned a valid status.
  bool answered = false;
  /// Why the status is missing.
  std::string error;
  bool ready = false;
  std::string incarnation;
  std::uint64_t version = 0;
  std::vector<group_report> groups;
};

/// Parses the JSON of a VM's /status; absent fields keep their defaults.
[[nodiscard]] vm_report
ReadReport(const store::vm& aVm, const http::fetch_result& aAnswer);

/// Combines the reports of a VM's pooler and gateway: the lower version, and
/// ready only if both are.
[[nodiscard]] vm_report
JoinReports(vm_report aPooler, const vm_report& aGateway);

/// Queries every given VM at its pooler's status port and, if a gateway port is
/// given, at its gateway's.
[[nodiscard]] std::vector<vm_report>
QueryVms(const std::vector<store::vm>& aVms,
         const std::optional<gateway_port>& aGateways,
         http::fetcher& aFetcher,
         std::chrono::milliseconds aTimeout);

/// Formats a table with one line per VM, and one per group and owning VM.
[[nodiscard]] std::string
PrintReports(const std::vector<vm_report>& aReports);

[[nodiscard]] boost::json::object
ReportToJson(const vm_report& aReport);

} // namespace currantshed::ctl

#endif

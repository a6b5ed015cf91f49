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

/// What one VM says about one group.
struct group_report
{
  std::string group;
  std::uint64_t term = 0;
  std::string primary;
  /// Rank among the group's owners as text; "-" where the VM is none.
  std::string rank;
};

/// What one VM of the platform's list says about itself.
struct vm_report
{
  store::vm vm;
  /// Whether it answered with a status that could be read.
  bool answered = false;
  /// Why there is no status.
  std::string error;
  bool ready = false;
  std::string incarnation;
  std::uint64_t version = 0;
  std::vector<group_report> groups;
};

/// Reads the JSON of a VM's /status; what does not apply keeps its default.
[[nodiscard]] vm_report
ReadReport(const store::vm& aVm, const http::fetched& aAnswer);

/// What a VM's pooler and gateway say together: the lower version, and ready
/// where both are.
[[nodiscard]] vm_report
JoinReports(vm_report aPooler, const vm_report& aGateway);

/// Asks every given VM at its pooler's status port and, where one is given,
/// at its gateway's.
[[nodiscard]] std::vector<vm_report>
QueryVms(const std::vector<store::vm>& aVms,
         const std::optional<gateway_port>& aGateways,
         http::fetcher& aFetcher,
         std::chrono::milliseconds aTimeout);

/// A table with one line for each VM, and one for each group and VM that
/// owns it.
[[nodiscard]] std::string
PrintReports(const std::vector<vm_report>& aReports);

[[nodiscard]] boost::json::object
ReportToJson(const vm_report& aReport);

} // namespace currantshed::ctl

#endif

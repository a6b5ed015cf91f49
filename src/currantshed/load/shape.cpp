#include "currantshed/load/shape.hpp"

#include <algorithm>
#include <exception>
#include <sstream>
#include <utility>

#include <boost/json.hpp>

namespace currantshed::load {

namespace {

namespace json = boost::json;

std::string
Text(const json::object& aObject, std::string_view aKey)
{
  return json::value_to<std::string>(aObject.at(aKey));
}

template<typename number>
number
Number(const json::object& aObject, std::string_view aKey)
{
  return json::value_to<number>(aObject.at(aKey));
}

shape_vm
ReadVm(const json::object& aObject)
{
  return { Text(aObject, "id"),
           Text(aObject, "address"),
           Text(aObject, "failure_domain"),
           Number<std::uint16_t>(aObject, "request_port"),
           Number<std::uint16_t>(aObject, "peer_port"),
           Number<std::uint16_t>(aObject, "status_port"),
           Number<std::uint16_t>(aObject, "caller_port") };
}

shape_upstream
ReadUpstream(const json::object& aObject)
{
  return { Text(aObject, "id"),
           Text(aObject, "group"),
           Text(aObject, "address"),
           Number<std::uint16_t>(aObject, "port"),
           Number<std::uint16_t>(aObject, "control_port"),
           Text(aObject, "failure_domain"),
           Number<unsigned>(aObject, "slots"),
           Number<unsigned>(aObject, "connections") };
}

shape
ReadShape(const json::object& aObject)
{
  shape result;
  result.name = Text(aObject, "name");
  result.declaration = Text(aObject, "declaration");
  const auto& platform = aObject.at("platform").as_object();
  result.platformAddress = Text(platform, "address");
  result.platformPort = Number<std::uint16_t>(platform, "port");
  const auto& delays = aObject.at("delays").as_object();
  result.betweenFailureDomains = std::chrono::microseconds(
    Number<std::int64_t>(delays, "between_failure_domains_us"));
  result.connectDelay =
    std::chrono::milliseconds(Number<std::int64_t>(delays, "connect_ms"));
  for (const json::value& vm : aObject.at("vms").as_array()) {
    result.vms.push_back(ReadVm(vm.as_object()));
  }
  for (const json::value& server : aObject.at("upstreams").as_array()) {
    result.upstreams.push_back(ReadUpstream(server.as_object()));
  }
  return result;
}

} // namespace

bool
ParseShape(std::string_view aJson, shape& aShape, std::string& aFault)
{
  try {
    aShape = ReadShape(json::parse(aJson).as_object());
    return true;
  } catch (const std::exception& failure) {
    aFault = failure.what();
    return false;
  }
}

std::vector<std::string>
GroupsOf(const shape& aShape)
{
  std::vector<std::string> groups;
  for (const shape_upstream& server : aShape.upstreams) {
    groups.push_back(server.group);
  }
  std::sort(groups.begin(), groups.end());
  groups.erase(std::unique(groups.begin(), groups.end()), groups.end());
  return groups;
}

std::string
ShellLines(const shape& aShape)
{
  std::ostringstream lines;
  lines << "name " << aShape.name << '\n';
  lines << "declaration " << aShape.declaration << '\n';
  lines << "platform " << aShape.platformAddress << ' ' << aShape.platformPort
        << '\n';
  lines << "delays " << aShape.betweenFailureDomains.count() << ' '
        << aShape.connectDelay.count() << '\n';
  for (const shape_vm& vm : aShape.vms) {
    lines << "vm " << vm.id << ' ' << vm.address << ' ' << vm.failureDomain
          << ' ' << vm.requestPort << ' ' << vm.peerPort << ' ' << vm.statusPort
          << ' ' << vm.callerPort << '\n';
  }
  for (const shape_upstream& server : aShape.upstreams) {
    lines << "upstream " << server.id << ' ' << server.group << ' '
          << server.address << ' ' << server.port << ' ' << server.controlPort
          << ' ' << server.failureDomain << ' ' << server.slots << ' '
          << server.connections << '\n';
  }
  return lines.str();
}

} // namespace currantshed::load

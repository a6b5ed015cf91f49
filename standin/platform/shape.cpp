#include "standin/platform/shape.hpp"

#include <exception>
#include <fstream>
#include <sstream>
#include <utility>

#include <boost/json.hpp>

namespace currantshed::standin {

namespace {

namespace json = boost::json;

template<typename Value>
Value
Read(const json::value& aObject, const char* aName)
{
  return json::value_to<Value>(aObject.at(aName));
}

vm_entry
ReadVm(const json::value& aObject)
{
  vm_entry entry;
  entry.id = Read<std::string>(aObject, "id");
  entry.address = Read<std::string>(aObject, "address");
  entry.failureDomain = Read<std::string>(aObject, "failure_domain");
  entry.requestPort = Read<std::uint16_t>(aObject, "request_port");
  entry.peerPort = Read<std::uint16_t>(aObject, "peer_port");
  entry.statusPort = Read<std::uint16_t>(aObject, "status_port");
  return entry;
}

upstream_entry
ReadUpstream(const json::value& aObject)
{
  upstream_entry entry;
  entry.id = Read<std::string>(aObject, "id");
  entry.group = Read<std::string>(aObject, "group");
  entry.address = Read<std::string>(aObject, "address");
  entry.port = Read<std::uint16_t>(aObject, "port");
  entry.failureDomain = Read<std::string>(aObject, "failure_domain");
  entry.slots = Read<std::uint32_t>(aObject, "slots");
  entry.connections = Read<std::uint32_t>(aObject, "connections");
  return entry;
}

} // namespace

bool
ParseShape(std::string_view aJson,
           catalog_content& aContent,
           std::string& aFault)
{
  try {
    const auto shape =
      json::parse(json::string_view(aJson.data(), aJson.size()));
    catalog_content content;
    for (const auto& object : shape.at("vms").as_array()) {
      content.vms.push_back(ReadVm(object));
    }
    for (const auto& object : shape.at("upstreams").as_array()) {
      content.upstreams.push_back(ReadUpstream(object));
    }
    aContent = std::move(content);
    return true;
  } catch (const std::exception& failure) {
    aFault = failure.what();
    return false;
  }
}

bool
LoadShape(const std::string& aPath,
          catalog_content& aContent,
          std::string& aFault)
{
  const std::ifstream file(aPath);
  if (!file) {
    aFault = "cannot open " + aPath;
    return false;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseShape(text.str(), aContent, aFault);
}

} // namespace currantshed::standin

#include "currantshed/wire/convert.hpp"

#include <limits>
#include <string>

#include <google/protobuf/repeated_ptr_field.h>

#include "currantshed/wire/errors.hpp"

namespace currantshed::wire::internal {

namespace {

constexpr std::uint32_t kMaxPort = std::numeric_limits<std::uint16_t>::max();

void
VmToProto(const store::vm& aFrom, Vm& aTo)
{
  aTo.set_id(aFrom.id);
  aTo.set_address(aFrom.address);
  aTo.set_failure_domain(aFrom.failureDomain);
  aTo.set_pooler_port(aFrom.poolerPort);
  aTo.set_peer_port(aFrom.peerPort);
  aTo.set_status_port(aFrom.statusPort);
  aTo.set_leaving(aFrom.leaving);
}

std::error_code
VmFromProto(const Vm& aFrom, store::vm& aTo)
{
  const bool portsFit = aFrom.pooler_port() <= kMaxPort &&
                        aFrom.peer_port() <= kMaxPort &&
                        aFrom.status_port() <= kMaxPort;
  if (!portsFit) {
    return wire_errc::kOutOfRange;
  }
  aTo.id = aFrom.id();
  aTo.address = aFrom.address();
  aTo.failureDomain = aFrom.failure_domain();
  aTo.poolerPort = static_cast<std::uint16_t>(aFrom.pooler_port());
  aTo.peerPort = static_cast<std::uint16_t>(aFrom.peer_port());
  aTo.statusPort = static_cast<std::uint16_t>(aFrom.status_port());
  aTo.leaving = aFrom.leaving();
  return {};
}

std::error_code
VmsFromProto(const google::protobuf::RepeatedPtrField<Vm>& aFrom,
             std::vector<store::vm>& aTo)
{
  if (aFrom.size() > kMaxListEntries) {
    return wire_errc::kTooLarge;
  }
  for (const auto& item : aFrom) {
    if (const auto error = VmFromProto(item, aTo.emplace_back())) {
      return error;
    }
  }
  return {};
}

void
ServerToProto(const group::member& aFrom, Server& aTo)
{
  aTo.set_id(aFrom.id);
  aTo.set_address(aFrom.address);
  aTo.set_port(aFrom.port);
  aTo.set_failure_domain(aFrom.failureDomain);
  aTo.set_slots(aFrom.slots);
  aTo.set_connections(aFrom.connections);
  aTo.set_leaving(aFrom.leaving);
}

std::error_code
ServerFromProto(const Server& aFrom, group::member& aTo)
{
  if (aFrom.port() > kMaxPort) {
    return wire_errc::kOutOfRange;
  }
  aTo.id = aFrom.id();
  aTo.address = aFrom.address();
  aTo.port = static_cast<std::uint16_t>(aFrom.port());
  aTo.failureDomain = aFrom.failure_domain();
  aTo.slots = aFrom.slots();
  aTo.connections = aFrom.connections();
  aTo.leaving = aFrom.leaving();
  return {};
}

std::error_code
GroupFromProto(const Group& aFrom, group::description& aTo)
{
  if (aFrom.servers_size() > kMaxListEntries) {
    return wire_errc::kTooLarge;
  }
  aTo.name = aFrom.name();
  for (const auto& item : aFrom.servers()) {
    if (const auto error = ServerFromProto(item, aTo.members.emplace_back())) {
      return error;
    }
  }
  return {};
}

} // namespace

void
ToProto(const view& aFrom, View& aTo)
{
  aTo.set_version(aFrom.version);
  for (const auto& vm : aFrom.live) {
    VmToProto(vm, *aTo.add_live());
  }
  for (const auto& group : aFrom.groups) {
    aTo.add_groups(group);
  }
  aTo.set_owners(aFrom.owners);
  aTo.set_configuration_version(aFrom.configurationVersion);
  aTo.set_declaration(aFrom.declaration);
}

std::error_code
FromProto(const View& aFrom, view& aTo)
{
  if (const auto error = VmsFromProto(aFrom.live(), aTo.live)) {
    return error;
  }
  if (aFrom.groups_size() > kMaxListEntries) {
    return wire_errc::kTooLarge;
  }
  aTo.version = aFrom.version();
  aTo.groups.assign(aFrom.groups().begin(), aFrom.groups().end());
  aTo.owners = aFrom.owners();
  aTo.configurationVersion = aFrom.configuration_version();
  aTo.declaration = aFrom.declaration();
  return {};
}

void
ToProto(const member::heartbeat& aFrom, Heartbeat& aTo)
{
  VmToProto(aFrom.sender, *aTo.mutable_sender());
  aTo.set_incarnation(aFrom.incarnation);
  aTo.set_sequence(aFrom.sequence);
  aTo.set_configuration_version(aFrom.configuration);
  for (const auto& vm : aFrom.peerSample) {
    VmToProto(vm, *aTo.add_heard_of());
  }
  for (const auto& suspicion : aFrom.suspicions) {
    Suspicion& to = *aTo.add_suspicions();
    to.set_group(suspicion.group);
    to.set_term(suspicion.term);
    to.set_primary(suspicion.primary);
  }
  for (const auto& announcement : aFrom.terms) {
    TermNews& to = *aTo.add_terms();
    to.set_group(announcement.group);
    to.set_term(announcement.term);
    to.set_primary(announcement.primary);
  }
  aTo.set_answer(aFrom.answer);
  for (const auto& vm : aFrom.lost) {
    LostVm& to = *aTo.add_lost();
    to.set_id(vm.id);
    to.set_incarnation(vm.incarnation);
  }
}

std::error_code
FromProto(const Heartbeat& aFrom, member::heartbeat& aTo)
{
  if (!aFrom.has_sender() || aFrom.sender().id().empty()) {
    return wire_errc::kMalformed;
  }
  if (const auto error = VmFromProto(aFrom.sender(), aTo.sender)) {
    return error;
  }
  if (const auto error = VmsFromProto(aFrom.heard_of(), aTo.peerSample)) {
    return error;
  }
  if (aFrom.suspicions_size() > kMaxListEntries ||
      aFrom.terms_size() > kMaxListEntries ||
      aFrom.lost_size() > kMaxListEntries) {
    return wire_errc::kTooLarge;
  }
  aTo.incarnation = aFrom.incarnation();
  aTo.sequence = aFrom.sequence();
  aTo.configuration = aFrom.configuration_version();
  for (const auto& suspicion : aFrom.suspicions()) {
    aTo.suspicions.push_back(
      { suspicion.group(), suspicion.term(), suspicion.primary() });
  }
  for (const auto& announcement : aFrom.terms()) {
    aTo.terms.push_back(
      { announcement.group(), announcement.term(), announcement.primary() });
  }
  aTo.answer = aFrom.answer();
  for (const auto& vm : aFrom.lost()) {
    aTo.lost.push_back({ vm.id(), vm.incarnation() });
  }
  return {};
}

void
ToProto(const configuration& aFrom, Configuration& aTo)
{
  aTo.set_version(aFrom.version);
  aTo.set_declaration(aFrom.declaration);
  for (const auto& vm : aFrom.vms) {
    VmToProto(vm, *aTo.add_vms());
  }
  for (const auto& group : aFrom.groups) {
    Group& to = *aTo.add_groups();
    to.set_name(group.name);
    for (const auto& server : group.members) {
      ServerToProto(server, *to.add_servers());
    }
  }
}

std::error_code
FromProto(const Configuration& aFrom, configuration& aTo)
{
  aTo.version = aFrom.version();
  aTo.declaration = aFrom.declaration();
  if (const auto error = VmsFromProto(aFrom.vms(), aTo.vms)) {
    return error;
  }
  if (aFrom.groups_size() > kMaxListEntries) {
    return wire_errc::kTooLarge;
  }
  for (const auto& item : aFrom.groups()) {
    if (const auto error = GroupFromProto(item, aTo.groups.emplace_back())) {
      return error;
    }
  }
  return {};
}

} // namespace currantshed::wire::internal

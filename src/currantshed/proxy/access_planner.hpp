#ifndef CURRANTSHED_PROXY_ACCESS_PLANNER_HPP
#define CURRANTSHED_PROXY_ACCESS_PLANNER_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "currantshed/upstream/fwd.hpp"

namespace currantshed::proxy {

/// A VM of the fleet, as far as connections to servers are concerned.
struct fleet_vm
{
  std::string name;
  std::string failureDomain;
  /// IP address and port at which it accepts relay connections.
  std::string address;
  std::uint16_t relayPort = 0;
  /// Stops soon.
  bool draining = false;
  /// Delegate: may hold connections to servers for the VMs of its failure
  /// domain.
  bool isDelegate = true;

  [[nodiscard]] friend bool operator==(const fleet_vm&,
                                       const fleet_vm&) = default;
};

/// A path to a server: direct when vm is empty, else through that VM as a
/// relay.
struct path
{
  std::string vm;
  std::string address;
  std::uint16_t port = 0;

  [[nodiscard]] bool IsDirect() const noexcept { return vm.empty(); }
};

/// How one VM reaches one server.
struct access_plan
{
  /// Paths in order of preference.
  std::vector<path> paths;
  /// Maximum number of direct connections of this VM.
  std::size_t connections = 1;
  /// Whether this VM is a connection holder: keeps direct connections.
  bool isHolder = true;
};

/// Assigns the connections that a server accepts to the VMs of a fleet, as seen
/// from one of them. With enough connections for several per VM, every VM
/// connects directly and uses a relay only when it can't reach the server.
/// Otherwise one VM of each failure domain is the connection holder for its
/// domain and relays the others' statements: round trips within a domain are
/// short, and a shared pool needs far fewer connections than one per VM, which
/// leaves room for restarted VMs while the server still counts their former
/// connections. The plan is deterministic: all VMs compute the same one from
/// the same fleet.
class access_planner
{
public:
  explicit access_planner(std::string aSelf);
  access_planner(const access_planner&) = delete;
  access_planner& operator=(const access_planner&) = delete;

  /// Sets the VMs that share the connections, including this one. Returns
  /// whether the delegates, or this VM's role or failure domain, have changed.
  bool SetFleet(std::vector<fleet_vm> aFleet);

  /// Number of VMs.
  [[nodiscard]] std::size_t Size() const noexcept { return mVms; }

  [[nodiscard]] access_plan Plan(const upstream::server_id& aServer,
                                 std::size_t aMaxConnections) const;

  /// Whether this VM can be a connection holder for some server with this
  /// connection limit.
  [[nodiscard]] bool MayBeHolder(std::size_t aMaxConnections) const;

  /// Whether each of this many VMs connects directly to a server with this
  /// connection limit. The number of VMs affects plans only in this case.
  [[nodiscard]] static bool EveryVmConnects(std::size_t aMaxConnections,
                                            std::size_t aVms);

private:
  [[nodiscard]] std::vector<const fleet_vm*> Holders(
    const upstream::server_id& aServer) const;

  std::string mSelf;
  std::size_t mVms = 0;
  // VMs that may hold connections for others.
  std::vector<fleet_vm> mDelegates;
  std::string mDomain;
  bool mIsDelegate = false;
};

/// Plan for a single server.
[[nodiscard]] access_plan
PlanAccess(const upstream::server_id& aServer,
           std::size_t aMaxConnections,
           const std::vector<fleet_vm>& aFleet,
           const std::string& aSelf);

} // namespace currantshed::proxy

#endif

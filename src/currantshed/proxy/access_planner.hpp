#ifndef CURRANTSHED_PROXY_ACCESS_PLANNER_HPP
#define CURRANTSHED_PROXY_ACCESS_PLANNER_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "currantshed/upstream/fwd.hpp"

namespace currantshed::proxy {

/// Another VM, or this one, as far as connections to servers are concerned.
struct fleet_vm
{
  std::string name;
  std::string failureDomain;
  /// Where it relays for others: an IP number and a port.
  std::string address;
  std::uint16_t relayPort = 0;
  /// Stops soon.
  bool draining = false;
  /// Holds connections for others of its failure domain, if it is chosen.
  bool isDelegate = true;

  [[nodiscard]] friend bool operator==(const fleet_vm&,
                                       const fleet_vm&) = default;
};

/// A way to a server: direct where the VM's name is empty, else through it.
struct path
{
  std::string vm;
  std::string address;
  std::uint16_t port = 0;

  [[nodiscard]] bool IsDirect() const noexcept { return vm.empty(); }
};

/// How a VM reaches one server.
struct access_plan
{
  /// Ways in the order in which they are tried.
  std::vector<path> paths;
  /// Direct connections that this VM may have.
  std::size_t connections = 1;
  /// Whether this VM is meant to have direct connections at all.
  bool isHolder = true;
};

/// Works out who holds the connections to a server that accepts so many in
/// all, as seen from one VM of a fleet. While there are several for each VM,
/// every VM has its own, and goes through another one only when it is cut off
/// from the server. Otherwise one VM in each failure domain holds its domain's
/// share, and the others of the domain send their work through it: the way
/// within a domain is short, and a shared pool needs far fewer connections than
/// one a VM, which leaves some for VMs that are restarted while the server
/// still keeps their former ones. All VMs come to the same answer from the same
/// list.
class access_planner
{
public:
  explicit access_planner(std::string aSelf);
  access_planner(const access_planner&) = delete;
  access_planner& operator=(const access_planner&) = delete;

  /// The VMs that share the connections, this one included. Returns whether
  /// those that may hold some for others, or this VM, are others than before.
  bool SetFleet(std::vector<fleet_vm> aFleet);

  /// How many VMs there are.
  [[nodiscard]] std::size_t Size() const noexcept { return mVms; }

  [[nodiscard]] access_plan Plan(const upstream::server_id& aServer,
                                 std::size_t aMaxConnections) const;

  /// Whether this VM may be meant to hold connections to any server that
  /// accepts so many.
  [[nodiscard]] bool MayBeHolder(std::size_t aMaxConnections) const;

  /// Whether each of so many VMs has connections of its own to a server that
  /// accepts so many. Only then does the number of VMs count for a plan.
  [[nodiscard]] static bool EveryVmConnects(std::size_t aMaxConnections,
                                            std::size_t aVms);

private:
  [[nodiscard]] std::vector<const fleet_vm*> Holders(
    const upstream::server_id& aServer) const;

  std::string mSelf;
  std::size_t mVms = 0;
  // Those that may hold connections for others.
  std::vector<fleet_vm> mDelegates;
  std::string mDomain;
  bool mIsDelegate = false;
};

/// The same for a single server.
[[nodiscard]] access_plan
PlanAccess(const upstream::server_id& aServer,
           std::size_t aMaxConnections,
           const std::vector<fleet_vm>& aFleet,
           const std::string& aSelf);

} // namespace currantshed::proxy

#endif

#ifndef CURRANTSHED_PROXY_UPSTREAM_LINK_HPP
#define CURRANTSHED_PROXY_UPSTREAM_LINK_HPP

#include <memory>
#include <string>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/proxy/access_planner.hpp"
#include "currantshed/proxy/configuration.hpp"
#include "currantshed/proxy/statement.hpp"

namespace currantshed::proxy {

/// Reason why a link to a server closed.
enum class link_close_reason
{
  /// The connection failed, or the server closed it.
  kBroken,
  /// The connection could not be established.
  kUnreachable,
  /// The server has reached its connection limit.
  kServerFull,
  /// Another server answered at the address.
  kWrongServer,
  /// The server sent a malformed answer.
  kMalformed,
};

/// Receives the events of one link. Answers arrive in the order of the
/// commands.
class link_listener
{
public:
  virtual ~link_listener() = default;

  virtual void Opened(const std::optional<position::log_position>& aAt,
                      clock::time_point aNow) = 0;
  virtual void Answered(answer aAnswer, clock::time_point aNow) = 0;
  /// The last event of a link. Never called from within a call to the link.
  virtual void Ended(link_close_reason aWhy, clock::time_point aNow) = 0;
};

/// One connection to a server. Destroying it closes the connection, upon which
/// the server rolls back an open transaction. It may be destroyed while it
/// calls its listener.
class upstream_link
{
public:
  virtual ~upstream_link() = default;

  virtual void Send(const std::vector<command>& aCommands) = 0;
};

/// Opens connections to servers.
class link_opener
{
public:
  virtual ~link_opener() = default;

  /// Starts to connect along the path. A direct connection belongs to the
  /// customer; one through a relay serves all customers. The listener must
  /// outlive the link.
  [[nodiscard]] virtual std::unique_ptr<upstream_link> Open(
    const server& aServer,
    const path& aVia,
    const std::string& aCustomer,
    link_listener& aListener) = 0;
};

} // namespace currantshed::proxy

#endif

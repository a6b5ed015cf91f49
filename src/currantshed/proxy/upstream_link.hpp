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

/// Why a link to a server is gone.
enum class link_close_reason
{
  /// The connection broke, or the server closed it.
  kBroken,
  /// No connection could be made.
  kUnreachable,
  /// The server has as many connections as it accepts.
  kServerFull,
  /// Another server answers at the address.
  kWrongServer,
  /// The server sent what is no answer.
  kMalformed,
};

/// Hears what one link brings. Answers come in the order of the commands.
class link_listener
{
public:
  virtual ~link_listener() = default;

  virtual void Opened(const std::optional<position::log_position>& aAt,
                      clock::time_point aNow) = 0;
  virtual void Answered(answer aAnswer, clock::time_point aNow) = 0;
  /// Nothing comes after this. Never called from within a call of the link.
  virtual void Ended(link_close_reason aWhy, clock::time_point aNow) = 0;
};

/// One connection to a server; destroying it closes it, upon which the server
/// rolls back what was open. It may be destroyed while it calls its listener.
class upstream_link
{
public:
  virtual ~upstream_link() = default;

  virtual void Send(const std::vector<command>& aCommands) = 0;
};

/// Makes connections to servers.
class link_opener
{
public:
  virtual ~link_opener() = default;

  /// Begins to connect on the given way. A direct connection belongs to the
  /// customer; one through another VM serves all. The listener outlives the
  /// link.
  [[nodiscard]] virtual std::unique_ptr<upstream_link> Open(
    const server& aServer,
    const path& aVia,
    const std::string& aCustomer,
    link_listener& aListener) = 0;
};

} // namespace currantshed::proxy

#endif

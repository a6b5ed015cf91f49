#ifndef CURRANTSHED_PROXY_SESSION_HPP
#define CURRANTSHED_PROXY_SESSION_HPP

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <absl/container/btree_map.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/proxy/configuration.hpp"
#include "currantshed/proxy/request.hpp"
#include "currantshed/proxy/statement.hpp"

namespace currantshed::proxy {

/// The far end of a session.
class caller
{
public:
  virtual ~caller() = default;

  virtual void Deliver(const answer& aAnswer) = 0;

  /// Ends the session's connection once all that was delivered is sent.
  virtual void Close() = 0;

  /// Whether it has sent what was not read yet.
  [[nodiscard]] virtual bool HasUnread() const { return false; }
};

/// Values of a session, by name.
using session_values = absl::btree_map<std::string, std::string>;

/// A statement that a session prepared.
struct prepared_statement
{
  /// Its name on server connections: the same for all sessions that prepare
  /// the same, so that they share it.
  std::string sharedName;
  std::string shape;
  bool writes = false;
};

/// A commit that a session was told of.
struct own_commit
{
  position::log_position position;
  /// The primary's term that it was committed in.
  position::term_id term = 0;
  clock::time_point at;
};

/// What the session's open transaction is.
struct open_transaction
{
  std::shared_ptr<const route> assignedRoute;
  /// Whose it is; empty where customers are not told apart.
  std::string customer;
  /// Whether it counts into its customer's quota already.
  bool isCounted = false;
  bool readOnly = false;
  bool failed = false;
  /// Its server connection broke while no statement was under way.
  bool connectionLost = false;
  /// The primary's term that it was begun in; zero where it may run anywhere.
  position::term_id term = 0;
  /// Whether a statement that writes was sent in it.
  bool wrote = false;
  clock::time_point lastUsed;
  /// The server connection that it runs on; null until its first statement.
  connection* serverConnection = nullptr;
  /// Whether the server has begun it.
  bool begun = false;
};

/// One caller's session. Values and prepared statements are kept here and
/// brought to whichever server connection runs the next statement.
class session
{
public:
  session(std::uint64_t aNumber, std::string aDatabase, caller& aCaller);

  /// Carries out what needs no server; none when a server must be asked.
  [[nodiscard]] std::optional<answer> AnswerLocally(
    const session_statement& aAsked);

  /// The prepared statement of that name, or null.
  [[nodiscard]] const prepared_statement* Prepared(
    const std::string& aName) const;

  [[nodiscard]] transaction_state State() const noexcept;

  /// Whether it works for another VM, which has made all decisions.
  [[nodiscard]] bool IsRelay() const noexcept { return !relayTarget.empty(); }

  std::uint64_t number;
  std::string database;
  /// What the caller showed to tell whose its requests are.
  std::string key;
  /// The server that another VM reaches through this session, or empty.
  upstream::server_id relayTarget;
  /// What takes the place of a route then.
  std::shared_ptr<const route> relayRoute;
  caller& client;
  session_values values;
  std::optional<open_transaction> transaction;
  /// The newest commit that this session was told of.
  std::optional<own_commit> lastCommit;
  /// Requests that wait for the one under way.
  std::deque<session_statement> backlog;
  /// The request under way.
  std::optional<request> current;
  /// The caller has gone; the session goes once nothing is under way.
  bool callerLeft = false;

private:
  [[nodiscard]] answer Local() const;
  [[nodiscard]] answer Refuse(failure_code aCode, std::string aText) const;

  absl::btree_map<std::string, prepared_statement> mPrepared;
};

/// The name under which server connections know a prepared statement.
[[nodiscard]] prepared_statement
MakePrepared(const session_statement& aPrepare);

} // namespace currantshed::proxy

#endif

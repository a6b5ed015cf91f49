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

/// Receives the answers of a session, for the client that opened it.
class caller
{
public:
  virtual ~caller() = default;

  virtual void Deliver(const answer& aAnswer) = 0;

  /// Closes the client's connection once all delivered answers are sent.
  virtual void Close() = 0;

  /// Whether the client has sent data that is not read yet.
  [[nodiscard]] virtual bool HasUnread() const { return false; }
};

/// Session values, by name; none where the session gave no value.
using session_values = absl::btree_map<std::string, std::optional<std::string>>;

/// A statement that a session has prepared.
struct prepared_statement
{
  /// Name on server connections, derived from the statement, so that sessions
  /// with the same statement share it.
  std::string sharedName;
  /// The text to prepare; none if the session gave none.
  std::optional<std::string> shape;
  bool writes = false;
};

/// A commit that was acknowledged to the session.
struct own_commit
{
  position::log_position position;
  /// Term of the primary that committed it.
  position::term_id term = 0;
  clock::time_point acknowledgedAt;
};

/// State of the session's open transaction.
struct open_transaction
{
  std::shared_ptr<const route> assignedRoute;
  /// The customer; empty when clients need no key.
  std::string customer;
  /// Whether a token of the customer's quota has been requested for it.
  bool isCounted = false;
  bool readOnly = false;
  bool failed = false;
  /// The server connection closed while no statement was in flight.
  bool connectionLost = false;
  /// Term of the primary that it began on; zero for a transaction that any
  /// server may run.
  position::term_id term = 0;
  /// Whether it has sent a statement that writes.
  bool wrote = false;
  clock::time_point lastUsed;
  /// The server connection that it runs on; null before its first statement.
  connection* serverConnection = nullptr;
  /// Whether the server has begun it.
  bool begun = false;
};

/// One caller's session. Session values and prepared statements are kept here
/// and are set up on whichever server connection runs the next statement.
class session
{
public:
  session(std::uint64_t aNumber, std::string aDatabase, caller& aCaller);

  /// Runs a statement that needs no server; empty when a server must run it.
  [[nodiscard]] std::optional<answer> AnswerLocally(
    const session_statement& aStatement);

  /// The prepared statement of that name, or null.
  [[nodiscard]] const prepared_statement* Prepared(
    const std::string& aName) const;

  [[nodiscard]] transaction_state State() const noexcept;

  /// Whether it serves another VM, which makes all routing decisions.
  [[nodiscard]] bool IsRelay() const noexcept { return !relayTarget.empty(); }

  std::uint64_t number;
  std::string database;
  /// Key that the client presented to identify its customer.
  std::string key;
  /// The server that another VM reaches through this session, or empty.
  upstream::server_id relayTarget;
  /// Route of a relay session, in place of a configured one.
  std::shared_ptr<const route> relayRoute;
  caller& client;
  session_values values;
  std::optional<open_transaction> transaction;
  /// The newest commit acknowledged to this session.
  std::optional<own_commit> lastCommit;
  /// Requests queued behind the current one.
  std::deque<session_statement> backlog;
  /// The request in progress.
  std::optional<request> current;
  /// The client has disconnected; the session is removed once its current
  /// request has ended.
  bool callerLeft = false;

private:
  [[nodiscard]] answer Local() const;
  [[nodiscard]] answer Refuse(failure_code aCode, std::string aText) const;

  absl::btree_map<std::string, prepared_statement> mPrepared;
};

/// The statement under its shared name on server connections.
[[nodiscard]] prepared_statement
MakePrepared(const session_statement& aPrepare);

} // namespace currantshed::proxy

#endif

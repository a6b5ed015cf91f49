#ifndef CURRANTSHED_PROXY_CONNECTION_HPP
#define CURRANTSHED_PROXY_CONNECTION_HPP

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_set.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/proxy/session.hpp"
#include "currantshed/proxy/upstream_link.hpp"

namespace currantshed::proxy {

/// Reason why a command was sent on a connection.
enum class purpose
{
  /// Sets the session's values on the connection.
  kSessionSetup,
  kPrepare,
  kBegin,
  /// The caller's statement.
  kStatement,
  /// Ends a transaction whose caller waits for no answer.
  kRollback,
  /// A control command: a query or command of the system itself.
  kControl,
};

/// A command that has been sent and not answered.
struct pending_command
{
  purpose sentFor = purpose::kStatement;
  clock::time_point sentAt;
  /// Term in which the server was the confirmed primary when the command was
  /// sent, or zero.
  position::term_id confirmedTerm = 0;
  /// Number of the control command, for kControl.
  std::uint64_t controlId = 0;
};

/// Receives the events of connections.
class connection_listener
{
public:
  virtual ~connection_listener() = default;

  virtual void Opened(connection& aConnection,
                      const std::optional<position::log_position>& aAt,
                      clock::time_point aNow) = 0;
  virtual void Answered(connection& aConnection,
                        const pending_command& aPending,
                        answer aAnswer,
                        clock::time_point aNow) = 0;
  virtual void Ended(connection& aConnection,
                     link_close_reason aWhy,
                     clock::time_point aNow) = 0;
};

/// One connection to a server: the link, the session state set up on it and the
/// commands in flight. It serves one request or transaction at a time.
class connection final : public link_listener
{
public:
  connection(upstream::server_id aServer,
             std::string aService,
             std::string aVia,
             std::string aCustomer,
             connection_listener& aListener,
             clock::time_point aNow);

  /// Whether it leads to the server directly and not through a relay.
  [[nodiscard]] bool IsDirect() const noexcept { return via.empty(); }

  /// Whether the customer's requests may use it. A relay selects a connection
  /// of the right customer itself.
  [[nodiscard]] bool Serves(const std::string& aCustomer) const noexcept
  {
    return !IsDirect() || customer == aCustomer;
  }

  void Attach(std::unique_ptr<upstream_link> aLink);

  /// Sends commands, which are all pending for the given reason.
  void Send(const std::vector<command>& aCommands,
            const pending_command& aPending);

  /// Commands that bring the connection's session values to those given; empty
  /// when they already match. Assumes that the commands are sent.
  [[nodiscard]] std::vector<command> SessionSetup(
    const session_values& aValues);

  /// Commands that define the prepared statement on the connection; empty when
  /// it is defined. Assumes that the commands are sent.
  [[nodiscard]] std::vector<command> Prepare(const prepared_statement& aWhat);

  /// Whether the connection has exactly these session values.
  [[nodiscard]] bool HasValues(const session_values& aValues) const;

  [[nodiscard]] bool IsOpen() const noexcept { return mIsOpen; }
  [[nodiscard]] bool IsIdle() const noexcept
  {
    return mIsOpen && user == nullptr && mPending.empty();
  }
  [[nodiscard]] bool HasNoPending() const noexcept { return mPending.empty(); }
  /// Whether the server works for it, on anything but a control command.
  [[nodiscard]] bool HasWork() const noexcept;
  /// Send time of the oldest pending command, or time_point::max().
  [[nodiscard]] clock::time_point OldestPendingAt() const noexcept;
  /// Whether it is unavailable for other work for an unusual time: its answer
  /// is overdue, or the caller of its transaction pauses.
  [[nodiscard]] bool IsStalled(clock::time_point aNow) const noexcept;
  [[nodiscard]] clock::time_point CreatedAt() const noexcept
  {
    return mCreatedAt;
  }

  void Opened(const std::optional<position::log_position>& aAt,
              clock::time_point aNow) override;
  void Answered(answer aAnswer, clock::time_point aNow) override;
  void Ended(link_close_reason aWhy, clock::time_point aNow) override;

  upstream::server_id server;
  std::string service;
  /// The relay VM, or empty for a direct connection.
  std::string via;
  /// Customer whose requests the server accepts on it; empty when clients need
  /// no key, and for a relay, which has connections per customer.
  std::string customer;
  /// Session that currently uses the connection, or null.
  session* user = nullptr;
  /// Whether a transaction may be open on it.
  bool transactionOpen = false;
  /// When it was last returned to the pool.
  clock::time_point idleSince;
  /// When its current user began to use it.
  clock::time_point takenAt;
  /// To be closed once it is idle: its server has restarted, or the state of
  /// the connection is unknown.
  bool retiring = false;

private:
  connection_listener& mListener;
  std::unique_ptr<upstream_link> mLink;
  clock::time_point mCreatedAt;
  clock::time_point mAnsweredAt;
  bool mIsOpen = false;
  session_values mValues;
  absl::flat_hash_set<std::string> mPrepared;
  std::deque<pending_command> mPending;
};

} // namespace currantshed::proxy

#endif

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

/// What a command on a connection was sent for.
enum class purpose
{
  /// Brings the session's values to the connection.
  kSessionSetup,
  kPrepare,
  kBegin,
  /// The caller's own statement.
  kStatement,
  /// Ends a transaction whose caller has no answer to wait for.
  kRollback,
  /// A question or order of the system itself.
  kControl,
};

/// A command under way.
struct pending_command
{
  purpose sentFor = purpose::kStatement;
  clock::time_point sentAt;
  /// The term whose confirmed primary the server was when the command was
  /// sent, or zero.
  position::term_id confirmedTerm = 0;
  /// For kControl: the number of the order.
  std::uint64_t controlId = 0;
};

/// What the engine hears from its connections.
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

/// One connection to a server: the link, what has been set up on it, and what
/// is under way. It serves one request or transaction at a time.
class connection final : public link_listener
{
public:
  connection(upstream::server_id aServer,
             std::string aService,
             std::string aVia,
             std::string aCustomer,
             connection_listener& aListener,
             clock::time_point aNow);

  /// Whether it leads to the server itself, not through another VM.
  [[nodiscard]] bool IsDirect() const noexcept { return via.empty(); }

  /// Whether requests of the customer may go on it.
  [[nodiscard]] bool Serves(const std::string& aCustomer) const noexcept
  {
    return !IsDirect() || customer == aCustomer;
  }

  void Attach(std::unique_ptr<upstream_link> aLink);

  /// Sends commands, each for the purpose given.
  void Send(const std::vector<command>& aCommands,
            const pending_command& aPending);

  /// The commands that bring the session's values to this connection; none
  /// when they are there.
  [[nodiscard]] std::vector<command> SessionSetup(
    const session_values& aValues);

  /// The commands that make the prepared statement known here; none when it
  /// is.
  [[nodiscard]] std::vector<command> Prepare(const prepared_statement& aWhat);

  /// Whether the connection has exactly these values.
  [[nodiscard]] bool HasValues(const session_values& aValues) const;

  [[nodiscard]] bool IsOpen() const noexcept { return mIsOpen; }
  [[nodiscard]] bool IsIdle() const noexcept
  {
    return mIsOpen && user == nullptr && mPending.empty();
  }
  [[nodiscard]] bool HasNoPending() const noexcept { return mPending.empty(); }
  /// When the oldest command without an answer was sent.
  [[nodiscard]] clock::time_point OldestPendingAt() const noexcept;
  /// Whether it has been of no use for a while: its answer is overdue, or the
  /// caller whose transaction it runs is pausing.
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
  /// The VM that it leads through, or empty.
  std::string via;
  /// Whose requests the server takes on it; empty where customers are not told
  /// apart, and for another VM, which has connections for each.
  std::string customer;
  /// The session that the connection works for, or null.
  session* user = nullptr;
  /// Whether a transaction may be open on it.
  bool transactionOpen = false;
  /// When it was last given back.
  clock::time_point idleSince;
  /// To be closed as soon as it is free: its server leaves, or something went
  /// wrong on it.
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

#ifndef CURRANTSHED_GROUP_TRANSACTION_TABLE_HPP
#define CURRANTSHED_GROUP_TRANSACTION_TABLE_HPP

#include <cstddef>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/group/fwd.hpp"
#include "currantshed/outcome/request_digest.hpp"
#include "currantshed/policy/work_class.hpp"
#include "currantshed/position/log_position.hpp"
#include "currantshed/upstream/status.hpp"

namespace currantshed::group {

/// Open transaction and the connection that it owns.
struct transaction
{
  transaction_id id = 0;
  connection_id connection = 0;
  upstream::server_id server;
  std::string failureDomain;
  upstream::server_role role = upstream::server_role::kPrimary;
  bool readOnly = false;
  /// Term of the server at the start of the transaction.
  position::term_id term = 0;
  /// For a read-only transaction, the confirmed position that it shows.
  position::log_position position;
  /// Class of work that the transaction was opened for.
  policy::work_class work;
  /// Digest of the statements that ran in it.
  outcome::request_digest digest;
  clock::time_point begunAt;
  clock::time_point lastUsed;
  /// Request that uses it at present; a transaction serves one at a time.
  std::optional<request_id> user;
};

/// The open transactions of one group.
class transaction_table
{
public:
  /// Adds an open transaction and assigns its identifier. Identifiers are
  /// derived from the clock, so that a later engine does not reuse those of an
  /// earlier one.
  transaction_id Add(transaction aTransaction, clock::time_point aNow);

  [[nodiscard]] transaction* Find(transaction_id aId);
  [[nodiscard]] transaction* OnConnection(connection_id aConnection);
  [[nodiscard]] transaction* UsedBy(request_id aRequest);

  /// Removes a transaction that has ended or whose connection is already
  /// handled.
  void Remove(transaction_id aId);

  /// Removes a transaction that is still open; its connection must be rolled
  /// back.
  void Abandon(transaction_id aId);

  /// Returns the connections of transactions abandoned since the last call.
  [[nodiscard]] std::vector<connection_id> TakeAbandoned();

  /// Returns the transactions that no request uses and that were begun or last
  /// used before the given times.
  [[nodiscard]] std::vector<transaction_id> Overdue(
    clock::time_point aBegunBy,
    clock::time_point aUsedBy) const;

  /// Returns the transactions that may change data and have a term lower than
  /// the given one.
  [[nodiscard]] std::vector<transaction_id> Outdated(
    position::term_id aTerm) const;

  /// When the next transaction becomes overdue, given how long transactions may
  /// be open and idle; none if every transaction is in use.
  [[nodiscard]] std::optional<clock::time_point> NextOverdue(
    clock::duration aOpen,
    clock::duration aIdle) const;

  /// Number of open transactions on a server.
  [[nodiscard]] std::size_t CountOn(const upstream::server_id& aServer) const;

  [[nodiscard]] std::size_t Size() const noexcept;

private:
  absl::flat_hash_map<transaction_id, transaction> mTransactions;
  std::vector<connection_id> mAbandoned;
  transaction_id mLastId = 0;
};

} // namespace currantshed::group

#endif

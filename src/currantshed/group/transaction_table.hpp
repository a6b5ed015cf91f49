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

/// One open transaction and the connection that it owns.
struct transaction
{
  transaction_id id = 0;
  connection_id connection = 0;
  upstream::server_id server;
  std::string failureDomain;
  upstream::server_role role = upstream::server_role::kPrimary;
  bool readOnly = false;
  /// The server's term when it began.
  position::term_id term = 0;
  /// For a read-only one, the confirmed position that it shows.
  position::log_position position;
  /// The class of work that it was opened for.
  policy::work_class work;
  /// Over the statements that ran in it.
  outcome::request_digest digest;
  clock::time_point begunAt;
  clock::time_point lastUsed;
  /// The request that uses it at the moment; it takes one at a time.
  std::optional<request_id> user;
};

/// The open transactions of one group.
class transaction_table
{
public:
  /// Notes an open transaction and gives it its number. Numbers go by the
  /// clock, so that an engine made later doesn't use an earlier one's again.
  transaction_id Add(transaction aTransaction, clock::time_point aNow);

  [[nodiscard]] transaction* Find(transaction_id aId);
  [[nodiscard]] transaction* OnConnection(connection_id aConnection);
  [[nodiscard]] transaction* UsedBy(request_id aRequest);

  /// Forgets one that has ended, or whose connection is dealt with.
  void Remove(transaction_id aId);

  /// Forgets one that is still open; its connection is to be rolled back.
  void Abandon(transaction_id aId);

  /// Connections of those abandoned since the last call.
  [[nodiscard]] std::vector<connection_id> TakeAbandoned();

  /// Those whose time is up: no request uses them, and they were begun or
  /// last used before the times given.
  [[nodiscard]] std::vector<transaction_id> Overdue(
    clock::time_point aBegunBy,
    clock::time_point aUsedBy) const;

  /// Those that may change data and whose term is lower than given.
  [[nodiscard]] std::vector<transaction_id> Outdated(
    position::term_id aTerm) const;

  /// When the next one is overdue, by how long they may be open and idle;
  /// none without one that no request uses.
  [[nodiscard]] std::optional<clock::time_point> NextOverdue(
    clock::duration aOpen,
    clock::duration aIdle) const;

  /// Transactions that a server has open.
  [[nodiscard]] std::size_t CountOn(const upstream::server_id& aServer) const;

  [[nodiscard]] std::size_t Size() const noexcept;

private:
  absl::flat_hash_map<transaction_id, transaction> mTransactions;
  std::vector<connection_id> mAbandoned;
  transaction_id mLast = 0;
};

} // namespace currantshed::group

#endif

#include "currantshed/group/transaction_table.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::group {

transaction_id
transaction_table::Add(transaction aTransaction, clock::time_point aNow)
{
  const auto byClock =
    static_cast<transaction_id>(aNow.time_since_epoch().count());
  mLastId = std::max(mLastId + 1, byClock);
  aTransaction.id = mLastId;
  aTransaction.begunAt = aNow;
  aTransaction.lastUsed = aNow;
  mTransactions.emplace(mLastId, std::move(aTransaction));
  return mLastId;
}

transaction*
transaction_table::Find(transaction_id aId)
{
  const auto found = mTransactions.find(aId);
  return found == mTransactions.end() ? nullptr : &found->second;
}

transaction*
transaction_table::OnConnection(connection_id aConnection)
{
  for (auto& [id, transaction] : mTransactions) {
    if (transaction.connection == aConnection) {
      return &transaction;
    }
  }
  return nullptr;
}

transaction*
transaction_table::UsedBy(request_id aRequest)
{
  for (auto& [id, transaction] : mTransactions) {
    if (transaction.user == aRequest) {
      return &transaction;
    }
  }
  return nullptr;
}

void
transaction_table::Abandon(transaction_id aId)
{
  const auto found = mTransactions.find(aId);
  if (found != mTransactions.end()) {
    mAbandoned.push_back(found->second.connection);
    mTransactions.erase(found);
  }
}

std::vector<connection_id>
transaction_table::TakeAbandoned()
{
  return std::exchange(mAbandoned, {});
}

void
transaction_table::Remove(transaction_id aId)
{
  mTransactions.erase(aId);
}

std::vector<transaction_id>
transaction_table::Overdue(clock::time_point aBegunBy,
                           clock::time_point aUsedBy) const
{
  std::vector<transaction_id> found;
  for (const auto& [id, transaction] : mTransactions) {
    const auto isOverdue =
      transaction.begunAt <= aBegunBy || transaction.lastUsed <= aUsedBy;
    if (!transaction.user && isOverdue) {
      found.push_back(id);
    }
  }
  return found;
}

std::vector<transaction_id>
transaction_table::Outdated(position::term_id aTerm) const
{
  std::vector<transaction_id> found;
  for (const auto& [id, transaction] : mTransactions) {
    if (!transaction.readOnly && transaction.term < aTerm) {
      found.push_back(id);
    }
  }
  return found;
}

std::optional<clock::time_point>
transaction_table::NextOverdue(clock::duration aOpen,
                               clock::duration aIdle) const
{
  std::optional<clock::time_point> next;
  for (const auto& [id, transaction] : mTransactions) {
    const auto due =
      std::min(transaction.begunAt + aOpen, transaction.lastUsed + aIdle);
    if (!transaction.user && (!next || due < *next)) {
      next = due;
    }
  }
  return next;
}

std::size_t
transaction_table::CountOn(const upstream::server_id& aServer) const
{
  return static_cast<std::size_t>(std::count_if(
    mTransactions.begin(), mTransactions.end(), [&aServer](const auto& aEntry) {
      return aEntry.second.server == aServer;
    }));
}

std::size_t
transaction_table::Size() const noexcept
{
  return mTransactions.size();
}

} // namespace currantshed::group

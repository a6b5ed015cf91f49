#ifndef CURRANTSHED_GATEWAY_TRANSACTION_HANDLE_HPP
#define CURRANTSHED_GATEWAY_TRANSACTION_HANDLE_HPP

#include <string>
#include <string_view>
#include <system_error>

#include "currantshed/gateway/fwd.hpp"
#include "currantshed/group/fwd.hpp"
#include "currantshed/outcome/idempotency_key.hpp"
#include "currantshed/session/fwd.hpp"

namespace currantshed::gateway {

/// Everything a gateway needs to continue an open transaction. Callers carry it
/// as an opaque signed id, so that any gateway can serve them.
struct transaction_handle
{
  /// VM of the pooler that holds the transaction's connection.
  std::string vm;
  /// Incarnation of that pooler; another incarnation doesn't know the
  /// transaction.
  std::string incarnation;
  group::transaction_id number = 0;
  std::string workClass;
  group::group_name group;
  /// The key under which the transaction commits.
  outcome::idempotency_key key;

  [[nodiscard]] friend bool operator==(const transaction_handle&,
                                       const transaction_handle&) = default;
};

/// Returns the signed id of a transaction, safe to use in a URL path.
[[nodiscard]] std::string
MakeTransactionId(const transaction_handle& aName,
                  const session::key_ring& aKeys);

/// Verifies and parses a signed id. Returns a session_error if it was not made
/// with these keys, and then leaves aName unchanged.
[[nodiscard]] std::error_code
ReadTransactionId(std::string_view aId,
                  const session::key_ring& aKeys,
                  transaction_handle& aName);

} // namespace currantshed::gateway

#endif

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

/// All that any gateway needs to go on with an open transaction. Callers
/// carry it as an opaque, sealed id.
struct transaction_handle
{
  /// VM of the pooler that holds the transaction's connection.
  std::string vm;
  /// That pooler's incarnation; another one doesn't know the transaction.
  std::string incarnation;
  group::transaction_id number = 0;
  std::string workClass;
  group::group_name group;
  /// The key under which the transaction commits.
  outcome::idempotency_key key;

  [[nodiscard]] friend bool operator==(const transaction_handle&,
                                       const transaction_handle&) = default;
};

/// The sealed id of a transaction, fit for a path.
[[nodiscard]] std::string
MakeTransactionId(const transaction_handle& aName,
                  const session::key_ring& aKeys);

/// Reads a sealed id; an error of session_error when these keys did not make
/// it. aName is left alone on error.
[[nodiscard]] std::error_code
ReadTransactionId(std::string_view aId,
                  const session::key_ring& aKeys,
                  transaction_handle& aName);

} // namespace currantshed::gateway

#endif

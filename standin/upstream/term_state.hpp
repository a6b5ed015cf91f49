#ifndef CURRANTSHED_STANDIN_UPSTREAM_TERM_STATE_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_TERM_STATE_HPP

#include <cstdint>
#include <string>

#include "currantshed/position/log_position.hpp"
#include "currantshed/upstream/status.hpp"

namespace currantshed::standin::postgres {

using currantshed::upstream::server_role;
using position::term_id;

/// Result of a request that names a term.
enum class term_verdict
{
  /// The state has changed.
  kChanged,
  /// The state was already the requested one.
  kSame,
  /// Refused; the state is unchanged.
  kRefused,
};

/// The address of a primary.
struct primary_address
{
  std::string address;
  std::uint16_t port = 0;

  [[nodiscard]] friend bool operator==(const primary_address&,
                                       const primary_address&) = default;
};

/// A server's term and role, and the rules for changing them. The term never
/// decreases, and a server becomes primary of a term only after it was fenced
/// in that same term.
class term_state
{
public:
  /// Starts fenced, without a term.
  term_state() = default;
  /// Restores the state from before a restart.
  term_state(term_id aTerm, server_role aRole, primary_address aPrimary);

  [[nodiscard]] term_verdict Fence(term_id aTerm);
  [[nodiscard]] term_verdict Promote(term_id aTerm);
  [[nodiscard]] term_verdict Follow(term_id aTerm,
                                    const primary_address& aPrimary);

  /// Whether records from a primary of this term may be stored.
  [[nodiscard]] bool TakesRecordsOf(term_id aTerm) const noexcept;

  [[nodiscard]] term_id Term() const noexcept;
  [[nodiscard]] server_role Role() const noexcept;
  /// The primary that a replica follows.
  [[nodiscard]] const primary_address& Primary() const noexcept;

private:
  term_id mTerm = 0;
  server_role mRole = server_role::kFenced;
  primary_address mPrimary;
};

} // namespace currantshed::standin::postgres

#endif

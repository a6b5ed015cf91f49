#ifndef CURRANTSHED_LEAD_ACTIONS_HPP
#define CURRANTSHED_LEAD_ACTIONS_HPP

#include <string>
#include <variant>

#include "currantshed/lead/fwd.hpp"
#include "currantshed/lead/term_history.hpp"
#include "currantshed/proxy/engine.hpp"

namespace currantshed::lead {

/// Sends a query or command to a server. The result comes back through
/// ServerAnswered or ServerFailed.
struct send_command
{
  upstream::server_id server;
  proxy::command command;
  /// Whether to use only this VM's own connection. The VM that monitors a group
  /// must not mistake another VM's network fault for a failure of the server.
  bool direct = true;
};

/// Asks the platform to promote the server; the result comes back through
/// PromotionAnswered. Carried out only after a read of the store confirms that
/// this VM still holds the group's failover lock.
struct request_promotion
{
  upstream::server_id server;
  /// The replaced terms, including the one that the promotion ends. They are
  /// recorded in the store before the platform is called, because a promotion
  /// by the platform lifts fences.
  term_history terms;
};

/// Records the replaced terms in the store, if this VM still holds the group's
/// failover lock. The result comes back with the lock's record, through
/// SetTerms.
struct record_terms
{
  term_history terms;
};

/// What became of a promotion order.
enum class promotion_outcome
{
  /// The server becomes the primary.
  kAccepted,
  /// The platform cannot promote this server.
  kRejected,
  /// Nothing was done, and the order may be retried.
  kRetryLater,
  /// No answer arrived. The order may have been accepted.
  kUnknown,
};

/// Reads the most recently replaced term from the store; the result comes back
/// through ReplacedTermRead.
struct read_replaced_term
{};

/// Reads the list of VMs from the store again; the result comes back through
/// VmsListed.
struct list_vms
{};

/// Publishes a newer confirmation of the group's primary.
struct publish_confirmation
{
  proxy::confirmation confirmation;
  /// Whether this VM obtained the confirmation itself, so that other VMs may
  /// not have it yet.
  bool isOwn = false;
};

/// Publishes the log position that the confirmed primary reported.
struct publish_sample
{
  proxy::position_sample sample;
};

/// Tells all VMs to stop using confirmations of this term; zero lifts the
/// revocation.
struct publish_revocation
{
  position::term_id term = 0;
};

/// A step of a takeover, for the log.
struct log_step
{
  std::string step;
  std::string detail;
};

using action = std::variant<send_command,
                            request_promotion,
                            record_terms,
                            read_replaced_term,
                            list_vms,
                            publish_confirmation,
                            publish_sample,
                            publish_revocation,
                            log_step>;

} // namespace currantshed::lead

#endif

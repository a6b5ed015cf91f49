#ifndef CURRANTSHED_LEAD_ACTIONS_HPP
#define CURRANTSHED_LEAD_ACTIONS_HPP

#include <string>
#include <variant>

#include "currantshed/lead/fwd.hpp"
#include "currantshed/proxy/engine.hpp"

namespace currantshed::lead {

/// Sends a server a question or order; answered by ServerAnswered or
/// ServerFailed.
struct send_command
{
  upstream::server_id server;
  proxy::command command;
  /// Only on a connection of this VM's own: whoever watches a group must not
  /// take another VM's trouble for the server's.
  bool direct = true;
};

/// Asks the platform to make the server primary; answered by
/// PromotionAnswered. Carried out only while this VM provably holds the duty.
struct request_promotion
{
  upstream::server_id server;
  /// The term that ends with it. It is recorded in the store before the
  /// platform is asked, since the platform lifts fences when it promotes.
  position::term_id replacedTerm = 0;
};

/// Reads from the store which term was replaced last; answered by
/// ReplacedTermRead.
struct read_replaced_term
{};

/// Reads anew which VMs there are; answered by VmsListed.
struct list_vms
{};

/// A newer proof of who leads the group.
struct publish_confirmation
{
  proxy::confirmation confirmation;
  /// Whether this VM has put it together itself, and others may lack it.
  bool isOwn = false;
};

/// Where the confirmed primary stood.
struct publish_sample
{
  proxy::position_sample sample;
};

/// No VM may rest on proofs of this term any longer; zero lifts that.
struct publish_revocation
{
  position::term_id term = 0;
};

/// A step of a change of the primary, for logs.
struct log_step
{
  std::string step;
  std::string detail;
};

using action = std::variant<send_command,
                            request_promotion,
                            read_replaced_term,
                            list_vms,
                            publish_confirmation,
                            publish_sample,
                            publish_revocation,
                            log_step>;

} // namespace currantshed::lead

#endif

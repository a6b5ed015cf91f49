#ifndef CURRANTSHED_LEAD_ACTIONS_HPP
#define CURRANTSHED_LEAD_ACTIONS_HPP

#include <string>
#include <variant>

#include "currantshed/lead/fwd.hpp"
#include "currantshed/proxy/engine.hpp"

namespace currantshed::lead {

/// Sends a server a question or order; answered by ServerAnswered or
/// ServerFailed.
struct ask_server
{
  upstream::server_id server;
  proxy::command what;
  /// Only on a connection of this VM's own: whoever watches a group must not
  /// take another VM's trouble for the server's.
  bool direct = true;
};

/// Asks the platform to make the server primary; answered by
/// PromotionAnswered. Carried out only while this VM provably holds the duty.
struct order_promotion
{
  upstream::server_id server;
  /// The term that ends with it. It is recorded in the store before the
  /// platform is asked, since the platform lifts fences when it promotes.
  position::term_id replaces = 0;
};

/// Reads from the store which term was replaced last; answered by
/// TermsChecked.
struct check_terms
{};

/// Reads anew which VMs there are; answered by VmsListed.
struct list_vms
{};

/// A newer proof of who leads the group.
struct publish_proof
{
  proxy::confirmation proof;
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
struct note_step
{
  std::string step;
  std::string detail;
};

using action = std::variant<ask_server,
                            order_promotion,
                            check_terms,
                            list_vms,
                            publish_proof,
                            publish_sample,
                            publish_revocation,
                            note_step>;

} // namespace currantshed::lead

#endif

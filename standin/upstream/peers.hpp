#ifndef CURRANTSHED_STANDIN_UPSTREAM_PEERS_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_PEERS_HPP

#include <optional>
#include <string_view>

#include "standin/upstream/term_state.hpp"

namespace currantshed::standin::postgres {

/// Finds the address of a server in a list such as
/// `id=address:port,id=address:port`; empty if it is missing or malformed.
[[nodiscard]] std::optional<primary_address>
FindPeer(std::string_view aPeers, std::string_view aId);

} // namespace currantshed::standin::postgres

#endif

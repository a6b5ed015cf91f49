#ifndef CURRANTSHED_NET_ZMQ_CONTEXT_HPP
#define CURRANTSHED_NET_ZMQ_CONTEXT_HPP

#include <zmq.hpp>

namespace currantshed::net {

/// Most sockets of one process. A link to a pooler takes three, its own and
/// two that tell when it comes up and goes down; each of a gateway's threads
/// may have a link to every pooler. ZeroMQ's own bound of 1023 is reached at
/// some 170 poolers and two threads, and opening one more would then throw.
constexpr int kMaxSockets = 16384;

/// Makes the context that the sockets of one process share.
[[nodiscard]] zmq::context_t
MakeContext();

} // namespace currantshed::net

#endif

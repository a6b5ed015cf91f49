#ifndef CURRANTSHED_NET_ZMQ_CONTEXT_HPP
#define CURRANTSHED_NET_ZMQ_CONTEXT_HPP

#include <zmq.hpp>

namespace currantshed::net {

/// Maximum number of sockets of one process. A connection to a pooler uses
/// three sockets: its own and a pair for connection events. Each gateway thread
/// may connect to every pooler. ZeroMQ's default limit of 1023 is reached at
/// about 170 poolers and two threads; opening one more socket would then throw.
constexpr int kMaxSockets = 16384;

/// Creates the ZeroMQ context shared by all sockets of one process.
[[nodiscard]] zmq::context_t
MakeContext();

} // namespace currantshed::net

#endif

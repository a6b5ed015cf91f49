#include "currantshed/net/zmq_context.hpp"

namespace currantshed::net {

zmq::context_t
MakeContext()
{
  zmq::context_t context;
  context.set(zmq::ctxopt::max_sockets, kMaxSockets);
  return context;
}

} // namespace currantshed::net

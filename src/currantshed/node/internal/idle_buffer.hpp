#ifndef CURRANTSHED_NODE_INTERNAL_IDLE_BUFFER_HPP
#define CURRANTSHED_NODE_INTERNAL_IDLE_BUFFER_HPP

#include <cstddef>
#include <string>

namespace currantshed::node::internal {

/// Capacity that an empty buffer of a connection may keep, in bytes. Most
/// connections are idle most of the time.
constexpr std::size_t kMaxIdleCapacity = 4096;

/// Empties the buffer, and frees its memory if it is large.
inline void
EmptyBuffer(std::string& aBuffer)
{
  if (aBuffer.capacity() > kMaxIdleCapacity) {
    std::string().swap(aBuffer);
  } else {
    aBuffer.clear();
  }
}

} // namespace currantshed::node::internal

#endif

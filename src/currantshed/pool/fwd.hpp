#ifndef CURRANTSHED_POOL_FWD_HPP
#define CURRANTSHED_POOL_FWD_HPP

namespace currantshed::pool {

class connection_pool;
struct pool_limits;

} // namespace currantshed::pool

#endif

#ifndef CURRANTSHED_CUSTOMER_FWD_HPP
#define CURRANTSHED_CUSTOMER_FWD_HPP

namespace currantshed::customer {

class directory;
class freshness;
struct customer;

} // namespace currantshed::customer

#endif

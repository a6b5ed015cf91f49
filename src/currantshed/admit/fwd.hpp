#ifndef CURRANTSHED_ADMIT_FWD_HPP
#define CURRANTSHED_ADMIT_FWD_HPP

namespace currantshed::admit {

class concurrency_limit;
class deadline_queue;
class drain_meter;
class fair_share;
class fair_ticket;
class retry_budget;
struct concurrency_bounds;

} // namespace currantshed::admit

#endif

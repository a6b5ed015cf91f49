#ifndef CURRANTSHED_LEAD_FWD_HPP
#define CURRANTSHED_LEAD_FWD_HPP

namespace currantshed::lead {

class clock_offset;
class group_monitor;
class outage_history;
class server_table;
class takeover;
enum class takeover_step;
struct watch_update;
struct monitor_settings;
struct member;
struct reach_update;
enum class lineage;
struct term_end;
struct term_history;

} // namespace currantshed::lead

#endif

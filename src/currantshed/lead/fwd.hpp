#ifndef CURRANTSHED_LEAD_FWD_HPP
#define CURRANTSHED_LEAD_FWD_HPP

namespace currantshed::lead {

class clock_offset;
class group_lead;
class server_table;
class takeover;
enum class takeover_step;
struct lead_news;
struct lead_settings;
struct member;
struct reach_news;

} // namespace currantshed::lead

#endif

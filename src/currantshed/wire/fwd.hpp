#ifndef CURRANTSHED_WIRE_FWD_HPP
#define CURRANTSHED_WIRE_FWD_HPP

namespace currantshed::wire {

enum class wire_errc;
struct cancel_request;
struct configuration;
struct configuration_request;
struct group_answer;
struct group_request;
struct subscribe_request;
struct view;

} // namespace currantshed::wire

#endif

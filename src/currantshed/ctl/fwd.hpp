#ifndef CURRANTSHED_CTL_FWD_HPP
#define CURRANTSHED_CTL_FWD_HPP

namespace currantshed::ctl {

enum class exit_code;
enum class verb_id;
struct ctl_settings;
struct gateway_port;
struct verb;
struct change;
struct vm_report;
class blocking_platform;
class sleep_clock;
class verbs;

} // namespace currantshed::ctl

#endif

#ifndef CURRANTSHED_SETTINGS_FWD_HPP
#define CURRANTSHED_SETTINGS_FWD_HPP

namespace currantshed::settings {

enum class parse_end;
struct parse_result;
class parser;

} // namespace currantshed::settings

#endif

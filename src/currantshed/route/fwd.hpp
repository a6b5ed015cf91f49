#ifndef CURRANTSHED_ROUTE_FWD_HPP
#define CURRANTSHED_ROUTE_FWD_HPP

namespace currantshed::route {

enum class standing;
struct candidate;
struct choice;
struct read_need;

} // namespace currantshed::route

#endif

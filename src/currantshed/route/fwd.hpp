#ifndef CURRANTSHED_ROUTE_FWD_HPP
#define CURRANTSHED_ROUTE_FWD_HPP

namespace currantshed::route {

enum class availability;
struct candidate;
struct choice;
struct read_requirements;

} // namespace currantshed::route

#endif

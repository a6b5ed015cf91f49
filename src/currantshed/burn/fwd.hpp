#ifndef CURRANTSHED_BURN_FWD_HPP
#define CURRANTSHED_BURN_FWD_HPP

namespace currantshed::burn {

enum class objective_kind;
struct class_counters;
struct exposition;
struct increment;
struct report;
struct sample;
struct snapshot;

} // namespace currantshed::burn

#endif

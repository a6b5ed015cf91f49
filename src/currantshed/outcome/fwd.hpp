#ifndef CURRANTSHED_OUTCOME_FWD_HPP
#define CURRANTSHED_OUTCOME_FWD_HPP

namespace currantshed::outcome {

class idempotency_key;
enum class verdict;
enum class reason;

} // namespace currantshed::outcome

#endif

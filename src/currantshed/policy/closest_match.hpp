#ifndef CURRANTSHED_POLICY_CLOSEST_MATCH_HPP
#define CURRANTSHED_POLICY_CLOSEST_MATCH_HPP

#include <optional>
#include <span>
#include <string_view>

namespace currantshed::policy {

/// The known word with the smallest edit distance to aWord; none if all differ
/// too much to be a misspelling.
[[nodiscard]] std::optional<std::string_view>
ClosestMatch(std::string_view aWord, std::span<const std::string_view> aKnown);

} // namespace currantshed::policy

#endif

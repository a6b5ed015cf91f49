#ifndef CURRANTSHED_POLICY_CLOSEST_MATCH_HPP
#define CURRANTSHED_POLICY_CLOSEST_MATCH_HPP

#include <optional>
#include <span>
#include <string_view>

namespace currantshed::policy {

/// The known word nearest to the given one by edit distance; none if all are
/// too far off to be meant.
[[nodiscard]] std::optional<std::string_view>
ClosestMatch(std::string_view aWord, std::span<const std::string_view> aKnown);

} // namespace currantshed::policy

#endif

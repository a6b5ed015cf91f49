#ifndef CURRANTSHED_MEMBER_OWNERS_HPP
#define CURRANTSHED_MEMBER_OWNERS_HPP

#include <cstdint>
#include <string_view>

namespace currantshed::member {

/// How well the VM fits to own the group: the highest score comes first. By
/// both names alone, so that all processes come to the same order.
[[nodiscard]] std::uint64_t
OwnerScore(std::string_view aGroup, std::string_view aVm);

} // namespace currantshed::member

#endif

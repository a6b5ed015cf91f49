#ifndef CURRANTSHED_MEMBER_OWNERS_HPP
#define CURRANTSHED_MEMBER_OWNERS_HPP

#include <cstdint>
#include <string_view>

namespace currantshed::member {

/// Rendezvous hashing score of a VM for a group; the VM with the highest score
/// ranks first. It depends on the two names only, so that all processes compute
/// the same order.
[[nodiscard]] std::uint64_t
OwnerScore(std::string_view aGroup, std::string_view aVm);

} // namespace currantshed::member

#endif

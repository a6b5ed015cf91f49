#ifndef CURRANTSHED_WIRE_CONVERT_HPP
#define CURRANTSHED_WIRE_CONVERT_HPP

#include <system_error>

#include "currantshed/wire/codec.hpp"
#include "currantshed/wire/messages.pb.h"

/// One conversion each way for every message; Put writes a core type into its
/// wire form and Take reads it back, checked.
namespace currantshed::wire::internal {

void
Put(const group_request& aFrom, clock::time_point aNow, GroupRequest& aTo);
void
Put(const group_answer& aFrom, GroupAnswer& aTo);
void
Put(const view& aFrom, View& aTo);
void
Put(const member::heartbeat& aFrom, Heartbeat& aTo);
void
Put(const configuration& aFrom, Configuration& aTo);

[[nodiscard]] std::error_code
Take(GroupRequest& aFrom, clock::time_point aNow, group_request& aTo);
[[nodiscard]] std::error_code
Take(GroupAnswer& aFrom, group_answer& aTo);
[[nodiscard]] std::error_code
Take(const View& aFrom, view& aTo);
[[nodiscard]] std::error_code
Take(const Heartbeat& aFrom, member::heartbeat& aTo);
[[nodiscard]] std::error_code
Take(const Configuration& aFrom, configuration& aTo);

} // namespace currantshed::wire::internal

#endif

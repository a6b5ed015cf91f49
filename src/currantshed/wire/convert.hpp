#ifndef CURRANTSHED_WIRE_CONVERT_HPP
#define CURRANTSHED_WIRE_CONVERT_HPP

#include <system_error>

#include "currantshed/wire/codec.hpp"
#include "currantshed/wire/messages.pb.h"

/// One conversion each way for every message; Put writes a core type into its
/// wire form and Take reads it back, checked.
namespace currantshed::wire::internal {

void
ToProto(const group_request& aFrom, clock::time_point aNow, GroupRequest& aTo);
void
ToProto(const group_answer& aFrom, GroupAnswer& aTo);
void
ToProto(const view& aFrom, View& aTo);
void
ToProto(const member::heartbeat& aFrom, Heartbeat& aTo);
void
ToProto(const configuration& aFrom, Configuration& aTo);

[[nodiscard]] std::error_code
FromProto(GroupRequest& aFrom, clock::time_point aNow, group_request& aTo);
[[nodiscard]] std::error_code
FromProto(GroupAnswer& aFrom, group_answer& aTo);
[[nodiscard]] std::error_code
FromProto(const View& aFrom, view& aTo);
[[nodiscard]] std::error_code
FromProto(const Heartbeat& aFrom, member::heartbeat& aTo);
[[nodiscard]] std::error_code
FromProto(const Configuration& aFrom, configuration& aTo);

} // namespace currantshed::wire::internal

#endif

#ifndef CURRANTSHED_WIRE_CONVERT_HPP
#define CURRANTSHED_WIRE_CONVERT_HPP

#include <system_error>

#include "currantshed/wire/codec.hpp"
#include "currantshed/wire/messages.pb.h"

/// Conversions between core types and their protobuf messages. ToProto writes a
/// core type into its message; FromProto reads and validates it.
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

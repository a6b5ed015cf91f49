#ifndef CURRANTSHED_STORE_CONSUL_RESPONSES_HPP
#define CURRANTSHED_STORE_CONSUL_RESPONSES_HPP

#include <string>
#include <system_error>
#include <vector>

#include "currantshed/store/client.hpp"
#include "currantshed/store/transport.hpp"

namespace currantshed::store {

/// Maps an unsuccessful response to an errc. Returns no error for status 200,
/// nor for 404, whose meaning depends on the call.
[[nodiscard]] std::error_code
StatusError(const http_response& aResponse);

/// Parses the response to GET /v1/kv/{key}. A key that does not exist yields an
/// empty entry of version zero.
[[nodiscard]] std::error_code
ReadEntry(const http_response& aResponse, entry& aEntry);

/// Parses the response to PUT /v1/kv/{key}?cas=N. Anything but the two
/// responses that the interface defines means that the outcome is unknown.
[[nodiscard]] swap_outcome
ReadSwap(const http_response& aResponse);

/// Parses the response to GET /v1/catalog/service/currantshed. A single invalid
/// entry makes the whole list invalid.
[[nodiscard]] std::error_code
ReadVms(const http_response& aResponse, std::vector<vm>& aVms);

/// Parses the response to GET /v1/catalog/service/upstream, sorted into groups.
/// A single invalid entry makes the whole list invalid: if a group lacked a
/// member, its majority would be computed over too few.
[[nodiscard]] std::error_code
ReadGroups(const http_response& aResponse,
           std::vector<group::description>& aGroups);

/// The path of a key, percent-encoded except for slashes.
[[nodiscard]] std::string
KeyTarget(const std::string& aKey);

} // namespace currantshed::store

#endif

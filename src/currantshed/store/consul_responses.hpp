#ifndef CURRANTSHED_STORE_CONSUL_RESPONSES_HPP
#define CURRANTSHED_STORE_CONSUL_RESPONSES_HPP

#include <string>
#include <system_error>
#include <vector>

#include "currantshed/store/client.hpp"
#include "currantshed/store/transport.hpp"

namespace currantshed::store {

/// Turns an answer that isn't a success into the platform's error; none for
/// a success, and none for 404, which each call reads in its own way.
[[nodiscard]] std::error_code
StatusError(const http_response& aAnswer);

/// Reads the answer to GET /v1/kv/{key}; an absent key is an empty entry of
/// version zero.
[[nodiscard]] std::error_code
ReadEntry(const http_response& aAnswer, entry& aEntry);

/// Reads the answer to a PUT /v1/kv/{key}?cas=N. All but the two answers
/// that the interface lays down leave the outcome unknown.
[[nodiscard]] swap_outcome
ReadSwap(const http_response& aAnswer);

/// Reads the answer to GET /v1/catalog/service/currantshed. One entry that is
/// wrong makes the whole list wrong.
[[nodiscard]] std::error_code
ReadVms(const http_response& aAnswer, std::vector<vm>& aVms);

/// Reads the answer to GET /v1/catalog/service/upstream, gathered by group.
/// One entry that is wrong makes the whole list wrong: a group short of a
/// member would have its majority counted over too few.
[[nodiscard]] std::error_code
ReadGroups(const http_response& aAnswer,
           std::vector<group::description>& aGroups);

/// The path of a key, percent-encoded segment by segment.
[[nodiscard]] std::string
KeyTarget(const std::string& aKey);

} // namespace currantshed::store

#endif

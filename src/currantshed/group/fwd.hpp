#ifndef CURRANTSHED_GROUP_FWD_HPP
#define CURRANTSHED_GROUP_FWD_HPP

#include <cstdint>
#include <string>

namespace currantshed::group {

/// Name of a database group, as listed by the platform.
using group_name = std::string;

/// Identifier of a request, unique within one pooler; assigned by the adapter.
using request_id = std::uint64_t;

/// Identifier of a connection, unique within one engine and never reused.
using connection_id = std::uint64_t;

/// Identifier of an open transaction, unique within one pooler.
using transaction_id = std::uint64_t;

enum class operation;
struct answer;
struct description;
struct member;
struct request;
class engine;

} // namespace currantshed::group

#endif

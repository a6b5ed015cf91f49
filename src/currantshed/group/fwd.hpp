#ifndef CURRANTSHED_GROUP_FWD_HPP
#define CURRANTSHED_GROUP_FWD_HPP

#include <cstdint>
#include <string>

namespace currantshed::group {

/// Name of a database group, as the platform gives it.
using group_name = std::string;

/// Number of one request at one pooler, given by the adapter.
using request_id = std::uint64_t;

/// Number of one connection of one engine, never used again.
using connection_id = std::uint64_t;

/// Number of one open transaction at one pooler.
using transaction_id = std::uint64_t;

enum class operation;
struct answer;
struct description;
struct member;
struct request;
class engine;

} // namespace currantshed::group

#endif

#ifndef CURRANTSHED_WIRE_CODEC_HPP
#define CURRANTSHED_WIRE_CODEC_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/group/request.hpp"
#include "currantshed/member/membership.hpp"
#include "currantshed/store/client.hpp"
#include "currantshed/wire/fwd.hpp"

namespace currantshed::wire {

/// Longest message that is sent or taken, in bytes.
constexpr std::size_t kMaxMessageBytes = std::size_t{ 16 } * 1024 * 1024;
/// Most statements in one request.
constexpr int kMaxStatements = 1024;
/// Most parameters of one statement; PostgreSQL's protocol counts them in
/// sixteen bits.
constexpr int kMaxParameters = 65535;
/// Most entries in a list of VMs, groups, suspicions or terms.
constexpr int kMaxListEntries = 16384;
/// Longest time to a deadline that a request may carry.
constexpr std::chrono::hours kMaxTimeout{ 1 };

/// A gateway's request to the pooler that leads a group.
struct group_request
{
  group::group_name group;
  /// Its deadline travels as the time left.
  group::request request;
  /// For requests in a transaction: the incarnation of the pooler that
  /// opened it.
  failover::incarnation_id transactionIncarnation;
};

/// Tells a pooler that the caller of a request has gone.
struct cancel_request
{
  group::request_id id = 0;
};

/// A pooler's final answer to one request.
struct group_answer
{
  group::answer answer;
  /// The pooler's incarnation, which names its open transactions.
  failover::incarnation_id incarnation;
};

/// A gateway's question to the pooler of its own VM for each new view.
struct subscribe_request
{
  std::uint64_t viewVersion = 0;
  std::uint64_t configurationVersion = 0;
};

/// What gateways need to know of others, from the pooler of their own VM.
struct view
{
  std::uint64_t version = 0;
  std::vector<store::vm> live;
  std::vector<group::group_name> groups;
  unsigned owners = 0;
  std::uint64_t configurationVersion = 0;
  /// The operators' declaration; empty unless its version is above the one
  /// that the gateway told.
  std::string declaration;

  [[nodiscard]] friend bool operator==(const view&, const view&) = default;
};

/// A pooler's question to another for a newer configuration.
struct configuration_request
{
  std::uint64_t knownVersion = 0;
};

/// One version of the operators' declaration.
struct configuration
{
  std::uint64_t version = 0;
  std::string declaration;
  /// The platform's lists as the sender read them last; empty if it never
  /// did. They are for a process that starts while the platform is down.
  std::vector<store::vm> vms;
  std::vector<group::description> groups;

  [[nodiscard]] friend bool operator==(const configuration&,
                                       const configuration&) = default;
};

/// Every message between the system's own processes.
using message = std::variant<group_request,
                             cancel_request,
                             group_answer,
                             subscribe_request,
                             view,
                             member::heartbeat,
                             configuration_request,
                             configuration>;

/// A message read from bytes, or why they were not taken; the body is then
/// of no meaning.
struct decoded
{
  std::error_code error;
  message body;
};

/// Writes a message as one protobuf envelope. Deadlines become the time left
/// at aNow.
[[nodiscard]] std::string
Encode(const message& aMessage, clock::time_point aNow);

/// The same for an answer and a request by themselves, which spares a copy.
[[nodiscard]] std::string
Encode(const group_answer& aAnswer);
[[nodiscard]] std::string
Encode(const group_request& aRequest, clock::time_point aNow);

/// Reads one envelope. Anything that isn't a whole and sensible message is
/// an error of wire_errc; nothing is thrown for it.
[[nodiscard]] decoded
Decode(std::string_view aBytes, clock::time_point aNow);

} // namespace currantshed::wire

#endif

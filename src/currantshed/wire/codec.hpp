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

/// Maximum size of a message in bytes.
constexpr std::size_t kMaxMessageBytes = std::size_t{ 16 } * 1024 * 1024;
/// Maximum number of statements in one request.
constexpr int kMaxStatements = 1024;
/// Maximum number of parameters of one statement; PostgreSQL's protocol counts
/// them in 16 bits.
constexpr int kMaxParameters = 65535;
/// Maximum number of entries in a list of VMs, groups, suspicions or terms.
constexpr int kMaxListEntries = 16384;
/// Maximum time until the deadline of a request.
constexpr std::chrono::hours kMaxTimeout{ 1 };

/// Request of a gateway to the pooler that owns a group.
struct group_request
{
  group::group_name group;
  /// The deadline is transmitted as the time left.
  group::request request;
  /// For requests in a transaction: the incarnation of the pooler that opened
  /// it.
  failover::incarnation_id transactionIncarnation;
};

/// Cancels a request whose caller has disconnected.
struct cancel_request
{
  group::request_id id = 0;
};

/// Final answer of a pooler to one request.
struct group_answer
{
  group::answer answer;
  /// The pooler's incarnation, which qualifies the ids of its open
  /// transactions.
  failover::incarnation_id incarnation;
};

/// Subscription of a gateway to the views of the pooler on its own VM.
struct subscribe_request
{
  std::uint64_t viewVersion = 0;
  std::uint64_t configurationVersion = 0;
};

/// Cluster view that a pooler sends to the gateways of its own VM.
struct view
{
  std::uint64_t version = 0;
  std::vector<store::vm> live;
  std::vector<group::group_name> groups;
  unsigned owners = 0;
  std::uint64_t configurationVersion = 0;
  /// The operators' declaration; empty unless its version is above the one in
  /// the gateway's subscription.
  std::string declaration;

  [[nodiscard]] friend bool operator==(const view&, const view&) = default;
};

/// Request of a pooler to another one for a newer configuration.
struct configuration_request
{
  std::uint64_t knownVersion = 0;
};

/// One version of the operators' declaration.
struct configuration
{
  std::uint64_t version = 0;
  std::string declaration;
  /// The platform's lists as last read by the sender; empty if it never read
  /// them. For a process that starts while the platform is unavailable.
  std::vector<store::vm> vms;
  std::vector<group::description> groups;

  [[nodiscard]] friend bool operator==(const configuration&,
                                       const configuration&) = default;
};

/// Any message between the processes of this system.
using message = std::variant<group_request,
                             cancel_request,
                             group_answer,
                             subscribe_request,
                             view,
                             member::heartbeat,
                             configuration_request,
                             configuration>;

/// A decoded message, or the error; the body is meaningless on error.
struct decoded
{
  std::error_code error;
  message body;
};

/// Encodes a message as one protobuf envelope. Deadlines are converted to the
/// time left at aNow.
[[nodiscard]] std::string
Encode(const message& aMessage, clock::time_point aNow);

/// Overloads for an answer and a request, which save a copy.
[[nodiscard]] std::string
Encode(const group_answer& aAnswer);
[[nodiscard]] std::string
Encode(const group_request& aRequest, clock::time_point aNow);

/// Decodes one envelope. Returns an error of wire_errc for anything but a
/// complete and valid message; does not throw on malformed input.
[[nodiscard]] decoded
Decode(std::string_view aBytes, clock::time_point aNow);

} // namespace currantshed::wire

#endif

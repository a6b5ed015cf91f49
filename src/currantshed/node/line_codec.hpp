#ifndef CURRANTSHED_NODE_LINE_CODEC_HPP
#define CURRANTSHED_NODE_LINE_CODEC_HPP

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "currantshed/proxy/configuration.hpp"
#include "currantshed/proxy/statement.hpp"

namespace currantshed::node {

/// How a caller opens its session.
struct session_start
{
  std::string database;
  /// Tells whose requests the session sends, where the route needs it.
  std::string key;
};

/// What a caller sends in its session.
struct caller_message
{
  /// The session's end; nothing else counts then.
  bool ends = false;
  /// Whether the text is a statement; if not, only id and text count.
  bool isKnown = false;
  proxy::session_statement asked;
};

/// How another VM opens its way to a server.
struct relay_start
{
  std::string service;
  upstream::server_id server;
};

/// What a server sends.
struct server_row
{
  std::string content;
};

struct server_complete
{
  std::string signature;
};

struct server_error
{
  proxy::failure why;
};

/// Ends the answer to a command, and the opening of a connection.
struct server_ready
{
  proxy::transaction_state state = proxy::transaction_state::kIdle;
  std::optional<position::log_position> at;
};

using server_message =
  std::variant<server_row, server_complete, server_error, server_ready>;

/// Reads and writes the lines that callers, VMs and servers exchange. Lines
/// come without their end and are written with it. What is no line of the
/// protocol reads as none.
class line_codec
{
public:
  virtual ~line_codec() = default;

  [[nodiscard]] virtual std::optional<session_start> ReadStart(
    std::string_view aLine) const = 0;
  [[nodiscard]] virtual std::optional<caller_message> ReadCaller(
    std::string_view aLine) const = 0;
  virtual void WriteStarted(std::string& aOut) const = 0;
  virtual void WriteRefusedStart(const proxy::failure& aWhy,
                                 std::string& aOut) const = 0;
  virtual void WriteAnswer(const proxy::answer& aAnswer,
                           std::string& aOut) const = 0;

  /// The same as WriteServerStart and WriteRelayed write, read by the VM that
  /// relays it.
  [[nodiscard]] virtual std::optional<relay_start> ReadRelayStart(
    std::string_view aLine) const = 0;
  [[nodiscard]] virtual std::optional<caller_message> ReadRelayed(
    std::string_view aLine) const = 0;

  /// The customer is empty for what the system asks itself.
  virtual void WriteServerStart(const proxy::server& aServer,
                                std::string_view aCustomer,
                                std::string& aOut) const = 0;
  virtual void WriteCommand(const proxy::command& aCommand,
                            std::string& aOut) const = 0;
  /// The same for another VM, which learns whose request it is.
  virtual void WriteRelayed(const proxy::command& aCommand,
                            std::string& aOut) const = 0;
  [[nodiscard]] virtual std::optional<server_message> ReadServer(
    std::string_view aLine) const = 0;
  /// Reads the row that answers a question or order of the system itself.
  [[nodiscard]] virtual std::optional<proxy::server_report> ReadReport(
    std::string_view aRow) const = 0;
};

} // namespace currantshed::node

#endif

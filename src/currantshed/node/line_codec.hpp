#ifndef CURRANTSHED_NODE_LINE_CODEC_HPP
#define CURRANTSHED_NODE_LINE_CODEC_HPP

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "currantshed/proxy/configuration.hpp"
#include "currantshed/proxy/statement.hpp"

namespace currantshed::node {

/// Opens a session of a caller.
struct session_start
{
  std::string database;
  /// Identifies the customer, for routes that require it.
  std::string key;
};

/// A message of a caller within its session.
struct caller_message
{
  /// The session ends; all other members are ignored.
  bool ends = false;
  /// Whether the text is a valid statement. If not, only its id and text are
  /// set.
  bool isKnown = false;
  proxy::session_statement asked;
};

/// Opens a path to a server for another VM.
struct relay_start
{
  std::string service;
  upstream::server_id server;
};

/// Messages of a server.
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

/// Ends the answer to a command, or the opening of a connection.
struct server_ready
{
  proxy::transaction_state state = proxy::transaction_state::kIdle;
  std::optional<position::log_position> at;
  /// At the opening of a connection through a relay: whether the relay reads
  /// request attributes and reports the server's load.
  bool readsAttributes = false;
  /// In an answer through such a relay.
  std::optional<proxy::server_load> load;
};

using server_message =
  std::variant<server_row, server_complete, server_error, server_ready>;

/// Parses and formats the lines that callers, VMs and servers exchange. Lines
/// are passed to the parser without the line end and are written with it. A
/// line that violates the protocol yields nullopt.
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

  /// Opens a relay connection. Tells the requesting VM that this one reads
  /// request attributes; older builds ignore that part.
  virtual void WriteRelayStarted(std::string& aOut) const = 0;
  /// An answer to a relayed statement that carried attributes, with the load of
  /// the server. Older builds do not understand it: they send no attributes and
  /// get WriteAnswer.
  virtual void WriteRelayedAnswer(const proxy::answer& aAnswer,
                                  std::string& aOut) const = 0;

  /// Parse what another VM's WriteServerStart and WriteRelayed have written, on
  /// the VM that relays it.
  [[nodiscard]] virtual std::optional<relay_start> ReadRelayStart(
    std::string_view aLine) const = 0;
  [[nodiscard]] virtual std::optional<caller_message> ReadRelayed(
    std::string_view aLine) const = 0;

  /// The customer is empty for the system's own commands.
  virtual void WriteServerStart(const proxy::server& aServer,
                                std::string_view aCustomer,
                                std::string& aOut) const = 0;
  virtual void WriteCommand(const proxy::command& aCommand,
                            std::string& aOut) const = 0;
  /// The same for a command sent through another VM, which also learns the
  /// customer and, if the command has them, its attributes. Only a relay that
  /// reads attributes may be sent any.
  virtual void WriteRelayed(const proxy::command& aCommand,
                            std::string& aOut) const = 0;
  [[nodiscard]] virtual std::optional<server_message> ReadServer(
    std::string_view aLine) const = 0;
  /// Parses the row that answers one of the system's own commands.
  [[nodiscard]] virtual std::optional<proxy::server_report> ReadReport(
    std::string_view aRow) const = 0;
};

} // namespace currantshed::node

#endif

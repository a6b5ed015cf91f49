#ifndef CURRANTSHED_LOAD_MESSAGE_HPP
#define CURRANTSHED_LOAD_MESSAGE_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "currantshed/load/fwd.hpp"
#include "currantshed/load/history.hpp"

namespace currantshed::load {

/// One statement with its parameters, all sent as strings.
struct sql_statement
{
  std::string sql;
  std::vector<std::string> parameters;
};

/// One gateway's answer as a caller reads it.
struct answer
{
  exchange_result end = exchange_result::kAnswered;
  exchange_trace trace;
  /// Unknown as well when no answer came.
  change_outcome outcome = change_outcome::kUnknown;
  std::string reason;
  std::string message;
  /// The rows of the last result, in text; none stands for NULL.
  std::vector<std::vector<std::optional<std::string>>> rows;
  std::string servedBy;
  bool replica = false;
  bool repeated = false;
  /// Identity of the transaction that the request opened.
  std::string transaction;
  std::chrono::milliseconds retryAfter{ 0 };
  /// The session's token.
  std::string session;
};

/// The body of a request for statements. Within a transaction, whose class
/// and group stand already, both are empty and left out.
[[nodiscard]] std::string
MakeBody(std::string_view aClass,
         std::string_view aGroup,
         const std::vector<sql_statement>& aStatements);

/// Reads an answer's body; what can't be read is an unknown outcome.
[[nodiscard]] answer
ReadAnswer(std::string_view aBody);

/// The single value of an answer of one row and one column.
[[nodiscard]] std::optional<std::string>
SingleValue(const answer& aAnswer);

} // namespace currantshed::load

#endif

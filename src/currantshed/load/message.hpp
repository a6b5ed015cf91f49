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

/// A statement with its parameters, which are all sent as strings.
struct sql_statement
{
  std::string sql;
  std::vector<std::string> parameters;
};

/// An answer of a gateway, as a caller parses it.
struct answer
{
  exchange_result end = exchange_result::kAnswered;
  exchange_trace trace;
  /// Also unknown if no answer was received.
  change_outcome outcome = change_outcome::kUnknown;
  std::string reason;
  std::string message;
  /// Rows of the last result as text; none represents NULL.
  std::vector<std::vector<std::optional<std::string>>> rows;
  std::string servedBy;
  bool replica = false;
  bool repeated = false;
  /// Id of the transaction that the request opened.
  std::string transaction;
  std::chrono::milliseconds retryAfter{ 0 };
  /// Session token.
  std::string session;
};

/// Builds the body of a statement request. In a transaction, whose class and
/// group are already set, both are empty and omitted.
[[nodiscard]] std::string
MakeBody(std::string_view aClass,
         std::string_view aGroup,
         const std::vector<sql_statement>& aStatements);

/// Parses the body of an answer; an unreadable body is an unknown outcome.
[[nodiscard]] answer
ReadAnswer(std::string_view aBody);

/// The value of an answer with exactly one row and one column.
[[nodiscard]] std::optional<std::string>
SingleValue(const answer& aAnswer);

} // namespace currantshed::load

#endif

#ifndef CURRANTSHED_STANDIN_UPSTREAM_RESPONSES_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_RESPONSES_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "currantshed/upstream/status.hpp"
#include "standin/upstream/database.hpp"
#include "standin/upstream/sql_error.hpp"

namespace currantshed::standin::postgres {

/// Functions that append a server's messages to a buffer.
void
PutAuthenticated(std::string& aTarget);
void
PutReady(char aTransactionStatus, std::string& aTarget);
/// Appends a message without a body, given its type.
void
PutEmpty(char aType, std::string& aTarget);
void
PutError(std::string_view aSeverity,
         const sql_error& aError,
         std::string& aTarget);
/// Appends the columns of a result (RowDescription), or NoData if there are
/// none.
void
PutColumns(const std::vector<std::string>& aColumns, std::string& aTarget);
void
PutParameters(std::size_t aCount, std::string& aTarget);
void
PutRow(const row_view& aRow, std::string& aTarget);
void
PutTag(std::string_view aTag, std::string& aTarget);

/// The columns of the row that statements about the server return.
[[nodiscard]] const std::vector<std::string>&
StatusColumns();
void
PutStatus(const currantshed::upstream::server_status& aStatus,
          std::string& aTarget);

} // namespace currantshed::standin::postgres

#endif

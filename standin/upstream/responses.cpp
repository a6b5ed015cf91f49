#include "standin/upstream/responses.hpp"

#include <array>
#include <optional>

#include <absl/strings/str_cat.h>

#include "standin/upstream/wire.hpp"

namespace currantshed::standin::postgres {

namespace {

using currantshed::upstream::server_role;
using currantshed::upstream::server_status;

constexpr std::int32_t kTextType = 25;

const std::vector<std::string> kStatusColumns = {
  "term",         "role",          "stored_term",     "stored_index",
  "applied_term", "applied_index", "since_primary_ms"
};

struct parameter_row
{
  std::string_view name;
  std::string_view value;
};

constexpr parameter_row kParameters[] = {
  { "server_version", "15.0" },  { "server_encoding", "UTF8" },
  { "client_encoding", "UTF8" }, { "standard_conforming_strings", "on" },
  { "integer_datetimes", "on" },
};

std::string_view
RoleName(server_role aRole)
{
  switch (aRole) {
    case server_role::kPrimary:
      return "primary";
    case server_role::kReplica:
      return "replica";
    case server_role::kFenced:
      return "fenced";
  }
  return "";
}

} // namespace

void
PutAuthenticated(std::string& aTarget)
{
  message_writer writer(aTarget);
  writer.Begin('R');
  writer.Int32(0);
  writer.End();
  for (const auto& parameter : kParameters) {
    writer.Begin('S');
    writer.Text(parameter.name);
    writer.Text(parameter.value);
    writer.End();
  }
  writer.Begin('K');
  writer.Int32(1);
  writer.Int32(1);
  writer.End();
}

void
PutReady(char aTransactionStatus, std::string& aTarget)
{
  message_writer writer(aTarget);
  writer.Begin('Z');
  writer.Byte(aTransactionStatus);
  writer.End();
}

void
PutEmpty(char aType, std::string& aTarget)
{
  message_writer writer(aTarget);
  writer.Begin(aType);
  writer.End();
}

void
PutError(std::string_view aSeverity,
         const sql_error& aError,
         std::string& aTarget)
{
  message_writer writer(aTarget);
  writer.Begin('E');
  for (const char field : { 'S', 'V' }) {
    writer.Byte(field);
    writer.Text(aSeverity);
  }
  writer.Byte('C');
  writer.Text(aError.state);
  writer.Byte('M');
  writer.Text(aError.message);
  writer.Byte('\0');
  writer.End();
}

void
PutColumns(const std::vector<std::string>& aColumns, std::string& aTarget)
{
  if (aColumns.empty()) {
    PutEmpty('n', aTarget);
    return;
  }
  message_writer writer(aTarget);
  writer.Begin('T');
  writer.Int16(static_cast<std::int16_t>(aColumns.size()));
  for (const auto& name : aColumns) {
    writer.Text(name);
    // Table OID and column number are zero; then follow type, size, modifier
    // and format.
    writer.Int32(0);
    writer.Int16(0);
    writer.Int32(kTextType);
    writer.Int16(-1);
    writer.Int32(-1);
    writer.Int16(0);
  }
  writer.End();
}

void
PutParameters(std::size_t aCount, std::string& aTarget)
{
  message_writer writer(aTarget);
  writer.Begin('t');
  writer.Int16(static_cast<std::int16_t>(aCount));
  for (std::size_t index = 0; index < aCount; ++index) {
    writer.Int32(kTextType);
  }
  writer.End();
}

void
PutRow(const row_view& aRow, std::string& aTarget)
{
  message_writer writer(aTarget);
  const int size = aRow.size();
  writer.Begin('D');
  writer.Int16(static_cast<std::int16_t>(size));
  for (int column = 0; column < size; ++column) {
    writer.Cell(aRow.Cell(column));
  }
  writer.End();
}

void
PutTag(std::string_view aTag, std::string& aTarget)
{
  message_writer writer(aTarget);
  writer.Begin('C');
  writer.Text(aTag);
  writer.End();
}

const std::vector<std::string>&
StatusColumns()
{
  return kStatusColumns;
}

void
PutStatus(const server_status& aStatus, std::string& aTarget)
{
  const std::array<std::string, 6> values = {
    absl::StrCat(aStatus.term),         std::string(RoleName(aStatus.role)),
    absl::StrCat(aStatus.stored.term),  absl::StrCat(aStatus.stored.index),
    absl::StrCat(aStatus.applied.term), absl::StrCat(aStatus.applied.index)
  };
  message_writer writer(aTarget);
  writer.Begin('D');
  writer.Int16(static_cast<std::int16_t>(StatusColumns().size()));
  for (const auto& value : values) {
    writer.Cell(value);
  }
  if (aStatus.sincePrimary) {
    writer.Cell(absl::StrCat(aStatus.sincePrimary->count()));
  } else {
    writer.Cell(std::nullopt);
  }
  writer.End();
}

} // namespace currantshed::standin::postgres

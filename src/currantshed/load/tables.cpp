#include "currantshed/load/tables.hpp"

namespace currantshed::load {

namespace {

std::string
SeedTags(const std::string& aTable)
{
  std::string sql = "INSERT INTO " + aTable + " (slot, tag) VALUES ";
  for (unsigned slot = 0; slot < kTagSlots; ++slot) {
    sql += slot == 0 ? "" : ", ";
    sql += "(" + std::to_string(slot) + ", 'none')";
  }
  return sql + " ON CONFLICT (slot) DO NOTHING";
}

} // namespace

std::vector<sql_statement>
MakeTables()
{
  return {
    { "CREATE TABLE IF NOT EXISTS load_change (change TEXT NOT NULL)", {} },
    { "CREATE INDEX IF NOT EXISTS load_change_name ON load_change (change)",
      {} },
    { "CREATE TABLE IF NOT EXISTS load_clock (id BIGINT PRIMARY KEY, "
      "value BIGINT NOT NULL)",
      {} },
    { "CREATE TABLE IF NOT EXISTS load_tag_first (slot BIGINT PRIMARY KEY, "
      "tag TEXT NOT NULL)",
      {} },
    { "CREATE TABLE IF NOT EXISTS load_tag_second (slot BIGINT PRIMARY KEY, "
      "tag TEXT NOT NULL)",
      {} },
    { "INSERT INTO load_clock (id, value) VALUES (1, 0) "
      "ON CONFLICT (id) DO NOTHING",
      {} },
    { SeedTags("load_tag_first"), {} },
    { SeedTags("load_tag_second"), {} },
  };
}

sql_statement
InsertChange(const std::string& aChange)
{
  return { "INSERT INTO load_change (change) VALUES ($1)", { aChange } };
}

sql_statement
CountChange(const std::string& aChange)
{
  return { "SELECT count(*) FROM load_change WHERE change = $1", { aChange } };
}

sql_statement
AdvanceClock(std::uint64_t aValue)
{
  const std::string value = std::to_string(aValue);
  return { "UPDATE load_clock SET value = CAST($1 AS BIGINT) "
           "WHERE id = 1 AND value < CAST($1 AS BIGINT)",
           { value } };
}

sql_statement
ReadClock()
{
  return { "SELECT value FROM load_clock WHERE id = 1", {} };
}

sql_statement
WriteTag(bool aSecond, unsigned aSlot, const std::string& aTag)
{
  const std::string table = aSecond ? "load_tag_second" : "load_tag_first";
  return { "UPDATE " + table + " SET tag = $1 WHERE slot = CAST($2 AS BIGINT)",
           { aTag, std::to_string(aSlot) } };
}

sql_statement
ReadTag(unsigned aSlot)
{
  return { "SELECT tag FROM load_tag_first WHERE slot = CAST($1 AS BIGINT)",
           { std::to_string(aSlot) } };
}

sql_statement
ReadTagPair(unsigned aSlot)
{
  return { "SELECT f.tag, s.tag FROM load_tag_first f JOIN load_tag_second s "
           "ON f.slot = s.slot WHERE f.slot = CAST($1 AS BIGINT)",
           { std::to_string(aSlot) } };
}

std::string
DumpChanges()
{
  return "SELECT change, count(*) FROM load_change GROUP BY change";
}

std::string
DumpTags()
{
  return "SELECT f.tag, s.tag FROM load_tag_first f JOIN load_tag_second s "
         "ON f.slot = s.slot";
}

} // namespace currantshed::load

#ifndef CURRANTSHED_LOAD_TABLES_HPP
#define CURRANTSHED_LOAD_TABLES_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "currantshed/load/message.hpp"

namespace currantshed::load {

/// Number of row pairs that transactions change together.
inline constexpr unsigned kTagSlots = 8;

/// Idempotent statements that create the tables of the run in a group.
[[nodiscard]] std::vector<sql_statement>
MakeTables();

/// Inserts the row of a change. The table has no unique constraint, so that a
/// duplicated change is detected.
[[nodiscard]] sql_statement
InsertChange(const std::string& aChange);

/// Counts the rows of a change.
[[nodiscard]] sql_statement
CountChange(const std::string& aChange);

/// Sets the counter row to the given value unless it is already higher.
[[nodiscard]] sql_statement
AdvanceClock(std::uint64_t aValue);

[[nodiscard]] sql_statement
ReadClock();

/// Writes a tag to a slot of the first or second table.
[[nodiscard]] sql_statement
WriteTag(bool aSecond, unsigned aSlot, const std::string& aTag);

/// Reads the tag in a slot of the first table.
[[nodiscard]] sql_statement
ReadTag(unsigned aSlot);

/// Reads the tags of both tables in a slot, in one statement.
[[nodiscard]] sql_statement
ReadTagPair(unsigned aSlot);

/// Queries of the servers' contents after a run: each change with its number of
/// rows, and the two tags of each slot.
[[nodiscard]] std::string
DumpChanges();

[[nodiscard]] std::string
DumpTags();

} // namespace currantshed::load

#endif

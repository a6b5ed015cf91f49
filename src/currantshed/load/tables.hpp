#ifndef CURRANTSHED_LOAD_TABLES_HPP
#define CURRANTSHED_LOAD_TABLES_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "currantshed/load/message.hpp"

namespace currantshed::load {

/// Rows that transactions change in pairs.
inline constexpr unsigned kTagSlots = 8;

/// Statements that make the run's tables in a group; they may run again.
[[nodiscard]] std::vector<sql_statement>
MakeTables();

/// Adds the row of one change. Nothing in the table keeps a second row of
/// the same change out, so that a doubled change shows.
[[nodiscard]] sql_statement
InsertChange(const std::string& aChange);

/// Counts the rows of one change.
[[nodiscard]] sql_statement
CountChange(const std::string& aChange);

/// Raises the counted row, never lowers it.
[[nodiscard]] sql_statement
AdvanceClock(std::uint64_t aValue);

[[nodiscard]] sql_statement
ReadClock();

/// Writes a tag into one slot of the first or of the second table.
[[nodiscard]] sql_statement
WriteTag(bool aSecond, unsigned aSlot, const std::string& aTag);

/// Reads the tag in one slot of the first table.
[[nodiscard]] sql_statement
ReadTag(unsigned aSlot);

/// Reads both tables' tags in one slot, in one statement.
[[nodiscard]] sql_statement
ReadTagPair(unsigned aSlot);

/// For the servers' own word after a run: each change with its number of
/// rows; each slot's two tags.
[[nodiscard]] std::string
DumpChanges();

[[nodiscard]] std::string
DumpTags();

} // namespace currantshed::load

#endif

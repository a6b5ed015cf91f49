#include "standin/upstream/log.hpp"

#include <algorithm>
#include <utility>

#include "standin/upstream/wire.hpp"

namespace currantshed::standin::postgres {

namespace {

// Returns the run that contains a record, which must exist.
const term_run&
RunOf(const log_summary& aSummary, log_index aIndex) noexcept
{
  const auto after = std::upper_bound(
    aSummary.runs.begin(),
    aSummary.runs.end(),
    aIndex,
    [](log_index aValue, const term_run& aRun) { return aValue < aRun.first; });
  return *std::prev(after);
}

} // namespace

term_id
log_summary::TermAt(log_index aIndex) const noexcept
{
  if (aIndex == 0 || aIndex > last) {
    return 0;
  }
  return RunOf(*this, aIndex).term;
}

log_index
CommonPrefix(const log_summary& aOne, const log_summary& aOther) noexcept
{
  log_index candidate = std::min(aOne.last, aOther.last);
  while (candidate > 0) {
    const auto& one = RunOf(aOne, candidate);
    const auto& other = RunOf(aOther, candidate);
    if (one.term == other.term) {
      return candidate;
    }
    candidate = std::max(one.first, other.first) - 1;
  }
  return 0;
}

void
record_log::Append(log_record aRecord)
{
  ++mSummary.last;
  if (mSummary.runs.empty() || mSummary.runs.back().term != aRecord.term) {
    mSummary.runs.push_back({ aRecord.term, mSummary.last });
  }
  mRecords.push_back(std::move(aRecord));
}

void
record_log::Truncate(log_index aLast)
{
  if (aLast >= mSummary.last) {
    return;
  }
  mRecords.resize(aLast);
  mSummary.last = aLast;
  while (!mSummary.runs.empty() && mSummary.runs.back().first > aLast) {
    mSummary.runs.pop_back();
  }
}

const log_record&
record_log::At(log_index aIndex) const
{
  return mRecords.at(aIndex - 1);
}

log_position
record_log::PositionAt(log_index aIndex) const noexcept
{
  return { mSummary.TermAt(aIndex), aIndex };
}

log_position
record_log::Last() const noexcept
{
  return PositionAt(mSummary.last);
}

const log_summary&
record_log::Summary() const noexcept
{
  return mSummary;
}

void
EncodeRecord(const log_record& aRecord, std::string& aTarget)
{
  message_writer writer(aTarget);
  writer.Int64(aRecord.term);
  writer.Int64(aRecord.beganMs);
  writer.Int32(static_cast<std::int32_t>(aRecord.statements.size()));
  for (const auto& item : aRecord.statements) {
    writer.Cell(item.sql);
    writer.Int32(static_cast<std::int32_t>(item.parameters.size()));
    for (const auto& parameter : item.parameters) {
      writer.Cell(parameter);
    }
  }
}

std::optional<log_record>
DecodeRecord(std::string_view aBytes)
{
  message_reader reader(aBytes);
  log_record record;
  record.term = reader.Int64();
  record.beganMs = reader.Int64();
  const auto statements = reader.Int32();
  for (std::int32_t item = 0; item < statements && !reader.Failed(); ++item) {
    statement change;
    change.sql = reader.Cell().value_or("");
    const auto count = reader.Int32();
    for (std::int32_t cell = 0; cell < count && !reader.Failed(); ++cell) {
      change.parameters.push_back(reader.Cell());
    }
    record.statements.push_back(std::move(change));
  }
  if (reader.Failed() || !reader.empty()) {
    return std::nullopt;
  }
  return record;
}

} // namespace currantshed::standin::postgres

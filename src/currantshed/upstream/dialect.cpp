#include "currantshed/upstream/dialect.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <string>

#include <absl/strings/str_cat.h>

namespace currantshed::upstream {

namespace {

constexpr std::array<std::string_view, 7> kStatusColumns = {
  "term",         "role",          "stored_term",     "stored_index",
  "applied_term", "applied_index", "since_primary_ms"
};

template<typename Number>
std::optional<Number>
ReadNumber(const cell& aCell)
{
  if (!aCell) {
    return std::nullopt;
  }
  Number number{};
  const char* last = aCell->data() + aCell->size();
  const auto [end, error] = std::from_chars(aCell->data(), last, number);
  if (error != std::errc{} || end != last) {
    return std::nullopt;
  }
  return number;
}

std::optional<position::log_position>
ReadPosition(const cell& aTerm, const cell& aIndex)
{
  const auto term = ReadNumber<position::term_id>(aTerm);
  const auto index = ReadNumber<position::log_index>(aIndex);
  if (!term || !index) {
    return std::nullopt;
  }
  return position::log_position{ *term, *index };
}

std::optional<server_role>
ReadRole(const cell& aCell)
{
  if (aCell == "replica") {
    return server_role::kReplica;
  }
  if (aCell == "primary") {
    return server_role::kPrimary;
  }
  if (aCell == "fenced") {
    return server_role::kFenced;
  }
  return std::nullopt;
}

bool
HasStatusShape(const result_set& aAnswer)
{
  return aAnswer.cells.size() == kStatusColumns.size() &&
         std::equal(aAnswer.columns.begin(),
                    aAnswer.columns.end(),
                    kStatusColumns.begin(),
                    kStatusColumns.end());
}

std::string
UnixMilliseconds(clock::wall_time aTime)
{
  const auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(
    aTime.time_since_epoch());
  return absl::StrCat(sinceEpoch.count());
}

class postgres_dialect final : public dialect
{
public:
  [[nodiscard]] statement Status() const override
  {
    return { "SELECT * FROM currantshed_status", {} };
  }

  [[nodiscard]] statement Fence(position::term_id aTerm) const override
  {
    return { "SELECT * FROM currantshed_fence($1)", { absl::StrCat(aTerm) } };
  }

  [[nodiscard]] statement Promote(position::term_id aTerm) const override
  {
    return { "SELECT * FROM currantshed_promote($1)", { absl::StrCat(aTerm) } };
  }

  [[nodiscard]] statement Follow(position::term_id aTerm,
                                 std::string_view aAddress,
                                 std::uint16_t aPort) const override
  {
    return {
      "SELECT * FROM currantshed_follow($1, $2, $3)",
      { absl::StrCat(aTerm), std::string(aAddress), absl::StrCat(aPort) }
    };
  }

  [[nodiscard]] statement Begin(bool aReadOnly) const override
  {
    return { aReadOnly ? "BEGIN READ ONLY" : "BEGIN", {} };
  }

  [[nodiscard]] statement Commit() const override { return { "COMMIT", {} }; }

  [[nodiscard]] statement Rollback() const override
  {
    return { "ROLLBACK", {} };
  }

  [[nodiscard]] statement RecordOutcome(std::string_view aKey,
                                        clock::wall_time aIssued,
                                        std::string_view aDigest) const override
  {
    return {
      "INSERT INTO currantshed_outcome (key, issued_ms, digest, state) "
      "VALUES ($1, $2, $3, 'done')",
      { std::string(aKey), UnixMilliseconds(aIssued), std::string(aDigest) }
    };
  }

  [[nodiscard]] statement VoidOutcome(std::string_view aKey,
                                      clock::wall_time aIssued,
                                      std::string_view aDigest) const override
  {
    return {
      "INSERT INTO currantshed_outcome (key, issued_ms, digest, state) "
      "VALUES ($1, $2, $3, 'void') ON CONFLICT (key) DO NOTHING",
      { std::string(aKey), UnixMilliseconds(aIssued), std::string(aDigest) }
    };
  }

  [[nodiscard]] statement ReadOutcome(std::string_view aKey) const override
  {
    return { "SELECT state, digest FROM currantshed_outcome WHERE key = $1",
             { std::string(aKey) } };
  }

  [[nodiscard]] std::optional<server_status> ReadStatus(
    const result_set& aAnswer) const override
  {
    if (!HasStatusShape(aAnswer)) {
      return std::nullopt;
    }
    const auto& cells = aAnswer.cells;
    const auto term = ReadNumber<position::term_id>(cells[0]);
    const auto role = ReadRole(cells[1]);
    const auto stored = ReadPosition(cells[2], cells[3]);
    const auto applied = ReadPosition(cells[4], cells[5]);
    const auto sincePrimary = ReadNumber<std::int64_t>(cells[6]);
    if (!term || !role || !stored || !applied || (cells[6] && !sincePrimary)) {
      return std::nullopt;
    }
    server_status status{ *term, *role, *stored, *applied, std::nullopt };
    if (sincePrimary) {
      status.sincePrimary = std::chrono::milliseconds(*sincePrimary);
    }
    return status;
  }
};

} // namespace

std::unique_ptr<dialect>
MakePostgresDialect()
{
  return std::make_unique<postgres_dialect>();
}

} // namespace currantshed::upstream

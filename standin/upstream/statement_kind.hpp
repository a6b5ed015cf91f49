#ifndef CURRANTSHED_STANDIN_UPSTREAM_STATEMENT_KIND_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_STATEMENT_KIND_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace currantshed::standin::postgres {

/// What a statement asks of the server.
enum class statement_kind
{
  kEmpty,
  /// The four statements about the server itself.
  kStatus,
  kFence,
  kPromote,
  kFollow,
  kBegin,
  kCommit,
  kRollback,
  /// Settings of a session, accepted and ignored.
  kSet,
  /// All that the database runs.
  kData,
};

[[nodiscard]] statement_kind
KindOf(std::string_view aSql);

/// Whether a statement of this kind is about the server itself.
[[nodiscard]] constexpr bool
IsAboutServer(statement_kind aKind) noexcept
{
  return aKind >= statement_kind::kStatus && aKind <= statement_kind::kFollow;
}

/// PostgreSQL's tag for a statement that was run by the database.
[[nodiscard]] std::string
DataTag(std::string_view aSql, std::uint64_t aRows, std::uint64_t aAffected);

} // namespace currantshed::standin::postgres

#endif

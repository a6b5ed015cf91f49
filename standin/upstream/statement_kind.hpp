#ifndef CURRANTSHED_STANDIN_UPSTREAM_STATEMENT_KIND_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_STATEMENT_KIND_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace currantshed::standin::postgres {

/// Kinds of statements.
enum class statement_kind
{
  kEmpty,
  /// The four statements about the server itself: status, fence, promote and
  /// follow.
  kStatus,
  kFence,
  kPromote,
  kFollow,
  kBegin,
  kCommit,
  kRollback,
  /// SET of a session variable, accepted and ignored.
  kSet,
  /// Any statement that the database runs.
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

/// PostgreSQL's command tag for a statement that the database ran.
[[nodiscard]] std::string
DataTag(std::string_view aSql, std::uint64_t aRows, std::uint64_t aAffected);

} // namespace currantshed::standin::postgres

#endif

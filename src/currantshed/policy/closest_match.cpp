#include "currantshed/policy/closest_match.hpp"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

namespace currantshed::policy {
namespace {

/// Words longer than this are compared by their beginning.
constexpr std::size_t kMaxWordLength = 64;

/// One edit for each so many letters still counts as near.
constexpr std::size_t kLettersPerEdit = 3;

/// Levenshtein's distance, by rows.
std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{ 0 });
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < aRight.size(); ++j) {
      const std::size_t replaced = diagonal + (aLeft[i] == aRight[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({ replaced, row[j] + 1, diagonal + 1 });
    }
  }
  return row.back();
}

} // namespace

std::optional<std::string_view>
ClosestMatch(std::string_view aWord, std::span<const std::string_view> aKnown)
{
  const auto word = aWord.substr(0, kMaxWordLength);
  std::optional<std::string_view> nearest;
  std::size_t least = word.size() / kLettersPerEdit + 1;
  for (const auto known : aKnown) {
    const std::size_t distance = EditDistance(word, known);
    if (distance <= least && distance < known.size()) {
      least = distance == 0 ? 0 : distance - 1;
      nearest = known;
    }
  }
  return nearest;
}

} // namespace currantshed::policy

#ifndef CURRANTSHED_GROUP_KEY_BATCHES_HPP
#define CURRANTSHED_GROUP_KEY_BATCHES_HPP

#include <cstddef>
#include <string>
#include <vector>

#include "currantshed/outcome/idempotency_key.hpp"
#include "currantshed/upstream/dialect.hpp"

namespace currantshed::group {

/// Reads the outcome of a key: its record, then a status that covers it.
[[nodiscard]] std::vector<upstream::statement>
LookUpBatch(const upstream::dialect& aDialect,
            const outcome::idempotency_key& aKey);

/// Indexes of the results of a look-up.
inline constexpr std::size_t kLookUpRecord = 0;
inline constexpr std::size_t kLookUpStatus = 1;

/// Voids a key unless its change was applied, in a separate transaction, and
/// reads which of the two holds: begin, void, record, status, commit, status.
[[nodiscard]] std::vector<upstream::statement>
VoidBatch(const upstream::dialect& aDialect,
          const outcome::idempotency_key& aKey,
          const std::string& aDigest);

/// Indexes of the results of a void batch.
inline constexpr std::size_t kVoidRecord = 2;
inline constexpr std::size_t kVoidBefore = 3;
inline constexpr std::size_t kVoidAfter = 5;

} // namespace currantshed::group

#endif

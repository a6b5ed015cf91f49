#ifndef CURRANTSHED_GROUP_KEY_BATCHES_HPP
#define CURRANTSHED_GROUP_KEY_BATCHES_HPP

#include <cstddef>
#include <string>
#include <vector>

#include "currantshed/outcome/idempotency_key.hpp"
#include "currantshed/upstream/dialect.hpp"

namespace currantshed::group {

/// Reads what became of a key: the record, then a status that covers it.
[[nodiscard]] std::vector<upstream::statement>
LookUpBatch(const upstream::dialect& aDialect,
            const outcome::idempotency_key& aKey);

/// Places of the answers in a look-up.
inline constexpr std::size_t kLookUpRecord = 0;
inline constexpr std::size_t kLookUpStatus = 1;

/// Makes a key void unless its change is there, in a transaction of its own,
/// and reads which of both it is: begin, void, record, status, commit, status.
[[nodiscard]] std::vector<upstream::statement>
VoidBatch(const upstream::dialect& aDialect,
          const outcome::idempotency_key& aKey,
          const std::string& aDigest);

/// Places of the answers in a void batch.
inline constexpr std::size_t kVoidRecord = 2;
inline constexpr std::size_t kVoidBefore = 3;
inline constexpr std::size_t kVoidAfter = 5;

} // namespace currantshed::group

#endif

#include "currantshed/group/key_batches.hpp"

namespace currantshed::group {

std::vector<upstream::statement>
LookUpBatch(const upstream::dialect& aDialect,
            const outcome::idempotency_key& aKey)
{
  return { aDialect.ReadOutcome(aKey.Text()), aDialect.Status() };
}

std::vector<upstream::statement>
VoidBatch(const upstream::dialect& aDialect,
          const outcome::idempotency_key& aKey,
          const std::string& aDigest)
{
  const auto key = aKey.Text();
  return { aDialect.Begin(false),
           aDialect.VoidOutcome(key, aKey.IssuedAt(), aDigest),
           aDialect.ReadOutcome(key),
           aDialect.Status(),
           aDialect.Commit(),
           aDialect.Status() };
}

} // namespace currantshed::group

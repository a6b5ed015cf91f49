#ifndef CURRANTSHED_OUTCOME_REQUEST_DIGEST_HPP
#define CURRANTSHED_OUTCOME_REQUEST_DIGEST_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "currantshed/upstream/statement.hpp"

namespace currantshed::outcome {

/// Digest of a change's statements in their order. It distinguishes a retried
/// request from one that reuses the idempotency key for another change. It
/// protects against mistakes, not against attacks: 128-bit XXH3.
class request_digest
{
public:
  void Add(const upstream::statement& aStatement);
  void Add(const std::vector<upstream::statement>& aStatements);

  /// The digest as 32 hexadecimal digits.
  [[nodiscard]] std::string Text() const;

private:
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;
};

} // namespace currantshed::outcome

#endif

#ifndef CURRANTSHED_OUTCOME_REQUEST_DIGEST_HPP
#define CURRANTSHED_OUTCOME_REQUEST_DIGEST_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "currantshed/upstream/statement.hpp"

namespace currantshed::outcome {

/// A digest of the statements of one change, in their order, by which a key
/// that is used again for another change is told from a repeated request. It
/// guards against mistakes and not against attack: XXH3 with 128 bits.
class request_digest
{
public:
  void Add(const upstream::statement& aStatement);
  void Add(const std::vector<upstream::statement>& aStatements);

  /// 32 hexadecimal digits.
  [[nodiscard]] std::string Text() const;

private:
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;
};

} // namespace currantshed::outcome

#endif

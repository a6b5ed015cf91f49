#ifndef CURRANTSHED_GROUP_WRITES_HPP
#define CURRANTSHED_GROUP_WRITES_HPP

#include "currantshed/group/changes.hpp"

namespace currantshed::group {

/// Write whose statements run in a transaction of their own, which first
/// records the outcome under the key.
class write_flow : public change_flow
{
public:
  write_flow(context& aContext, request aRequest, clock::time_point aNow);

protected:
  [[nodiscard]] std::vector<upstream::statement> ComposeChange() const override;
  [[nodiscard]] std::size_t RecordIndex() const override;
  [[nodiscard]] bool MayBeResent() const override;
  [[nodiscard]] std::optional<std::string> Digest() const override;

private:
  std::string mDigest;
};

} // namespace currantshed::group

#endif

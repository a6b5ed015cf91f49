#ifndef CURRANTSHED_GROUP_RESOLVE_HPP
#define CURRANTSHED_GROUP_RESOLVE_HPP

#include "currantshed/group/changes.hpp"

namespace currantshed::group {

/// Determines the outcome of a key: done if its change was applied; otherwise
/// the key is voided, so that the change can never run.
class resolve_flow : public change_flow
{
public:
  resolve_flow(context& aContext, request aRequest, clock::time_point aNow);

protected:
  [[nodiscard]] std::vector<upstream::statement> ComposeChange() const override;
  [[nodiscard]] std::size_t RecordIndex() const override;
  [[nodiscard]] bool MayBeResent() const override;
  [[nodiscard]] std::optional<std::string> Digest() const override;
};

/// Checks whether a position is still confirmed in its own term, by statuses
/// requested from now on.
class reconfirm_flow : public flow
{
public:
  using flow::flow;

  [[nodiscard]] bool ReadOnly() const override;
  [[nodiscard]] route::choice ChooseServer(
    const std::vector<route::candidate>& aCandidates,
    clock::time_point aNow) const override;
  [[nodiscard]] std::vector<upstream::statement> Compose(
    const dispatch& aDispatch) override;
  [[nodiscard]] reply_outcome Replied(upstream::reply aReply,
                                      clock::time_point aNow) override;
  [[nodiscard]] std::optional<step> OnStatusUpdate(
    clock::time_point aNow) override;
  [[nodiscard]] answer Expired(stage aStage) const override;
};

} // namespace currantshed::group

#endif

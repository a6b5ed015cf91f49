#ifndef CURRANTSHED_GROUP_BEGIN_FLOWS_HPP
#define CURRANTSHED_GROUP_BEGIN_FLOWS_HPP

#include "currantshed/group/reads.hpp"

namespace currantshed::group {

/// Opens a transaction that may change data, at the primary. Results of its
/// first statements are provisional, as all results are before the commit.
class begin_write_flow : public flow
{
public:
  using flow::flow;

  [[nodiscard]] bool ReadOnly() const override;
  [[nodiscard]] route::choice ChooseServer(
    const std::vector<route::candidate>& aCandidates,
    clock::time_point aNow) const override;
  [[nodiscard]] std::optional<answer> OnNoServer(
    outcome::reason aWhy,
    clock::time_point aNow) override;
  [[nodiscard]] std::vector<upstream::statement> Compose(
    const dispatch& aDispatch) override;
  [[nodiscard]] reply_outcome Replied(upstream::reply aReply,
                                      clock::time_point aNow) override;
  [[nodiscard]] answer Expired(stage aStage) const override;

private:
  [[nodiscard]] step Retry();

  dispatch mDispatch;
};

/// Opens a read-only transaction on a server that may run reads. It sees a
/// single snapshot, which is verified once, here, in the same way as a read.
class begin_read_flow : public read_flow
{
public:
  using read_flow::read_flow;

  [[nodiscard]] reply_outcome Replied(upstream::reply aReply,
                                      clock::time_point aNow) override;
  [[nodiscard]] std::optional<step> OnStatusUpdate(
    clock::time_point aNow) override;

protected:
  [[nodiscard]] std::vector<upstream::statement> Preamble() const override;
  [[nodiscard]] bool NeedsStatusAfter() const override;

private:
  transaction_id mTransaction = 0;
};

} // namespace currantshed::group

#endif

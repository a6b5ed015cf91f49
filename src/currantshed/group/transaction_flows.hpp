#ifndef CURRANTSHED_GROUP_TRANSACTION_FLOWS_HPP
#define CURRANTSHED_GROUP_TRANSACTION_FLOWS_HPP

#include "currantshed/group/changes.hpp"

namespace currantshed::group {

/// Runs statements in an open transaction.
class statement_flow : public flow
{
public:
  using flow::flow;

  [[nodiscard]] bool ReadOnly() const override;
  [[nodiscard]] std::optional<connection_id> Pinned() const override;
  [[nodiscard]] route::choice ChooseServer(
    const std::vector<route::candidate>& aCandidates,
    clock::time_point aNow) const override;
  [[nodiscard]] std::vector<upstream::statement> Compose(
    const dispatch& aDispatch) override;
  [[nodiscard]] bool ShouldAbort(clock::time_point aNow) const override;
  [[nodiscard]] reply_outcome Replied(upstream::reply aReply,
                                      clock::time_point aNow) override;
  [[nodiscard]] answer Expired(stage aStage) const override;

private:
  dispatch mDispatch;
};

/// Commits a transaction that may have changed data.
class commit_flow : public change_flow
{
public:
  commit_flow(context& aContext, request aRequest, clock::time_point aNow);

  [[nodiscard]] std::optional<connection_id> Pinned() const override;
  [[nodiscard]] reply_outcome Replied(upstream::reply aReply,
                                      clock::time_point aNow) override;

protected:
  [[nodiscard]] std::vector<upstream::statement> ComposeChange() const override;
  [[nodiscard]] std::size_t RecordIndex() const override;
  [[nodiscard]] bool MayBeResent() const override;
  [[nodiscard]] std::optional<std::string> Digest() const override;

private:
  std::string mDigest;
};

/// Ends a transaction without changes to keep: a rollback, or the commit of a
/// read-only transaction.
class end_flow : public flow
{
public:
  using flow::flow;

  [[nodiscard]] bool ReadOnly() const override;
  [[nodiscard]] std::optional<connection_id> Pinned() const override;
  [[nodiscard]] route::choice ChooseServer(
    const std::vector<route::candidate>& aCandidates,
    clock::time_point aNow) const override;
  [[nodiscard]] std::vector<upstream::statement> Compose(
    const dispatch& aDispatch) override;
  [[nodiscard]] reply_outcome Replied(upstream::reply aReply,
                                      clock::time_point aNow) override;
  [[nodiscard]] answer Expired(stage aStage) const override;

private:
  dispatch mDispatch;
};

} // namespace currantshed::group

#endif

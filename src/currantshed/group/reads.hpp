#ifndef CURRANTSHED_GROUP_READS_HPP
#define CURRANTSHED_GROUP_READS_HPP

#include "currantshed/group/flow.hpp"
#include "currantshed/group/read_verification.hpp"

namespace currantshed::group {

/// A read: its statements run between two questions for the server's status
/// and its rows are shown only if the evidence is good. Otherwise it runs
/// again elsewhere, as far as its deadline and the retry budget allow.
class read_flow : public flow
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
  [[nodiscard]] bool ShouldAbort(clock::time_point aNow) const override;
  [[nodiscard]] reply_outcome Replied(upstream::reply aReply,
                                      clock::time_point aNow) override;
  [[nodiscard]] std::optional<step> OnStatusUpdate(
    clock::time_point aNow) override;
  [[nodiscard]] bool NeedsStatus() const override;
  [[nodiscard]] answer Expired(stage aStage) const override;

protected:
  /// What runs before the statements: a status first.
  [[nodiscard]] virtual std::vector<upstream::statement> Preamble() const;

  /// Whether a status runs after the statements; else the last one of the
  /// opening stands for it.
  [[nodiscard]] virtual bool NeedsStatusAfter() const;

  /// Where the last batch was sent.
  [[nodiscard]] const dispatch& Dispatched() const noexcept;

  /// The servers' word around the last batch.
  [[nodiscard]] const read_evidence& Evidence() const noexcept;

private:
  /// Goes by what the evidence says now.
  [[nodiscard]] std::optional<step> Decide(clock::time_point aNow);
  /// Runs it elsewhere if that may be.
  [[nodiscard]] step RetryElsewhere(outcome::reason aWhy);
  [[nodiscard]] reply_outcome OnServerError(const upstream::reply& aReply);
  [[nodiscard]] reply_outcome OnTorn(const upstream::reply& aReply);

  dispatch mDispatch;
  read_evidence mEvidence;
  answer mAnswer;
  // Servers tried in vain; forgotten when all have been.
  std::vector<upstream::server_id> mTriedServers;
};

} // namespace currantshed::group

#endif

#ifndef CURRANTSHED_GROUP_READS_HPP
#define CURRANTSHED_GROUP_READS_HPP

#include "currantshed/group/flow.hpp"
#include "currantshed/group/read_verification.hpp"

namespace currantshed::group {

/// Read whose statements run between two status queries. Its rows are returned
/// only if these verify it; otherwise it runs again on another server, as far
/// as its deadline and the retry budget allow.
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
  /// Statements that run before those of the caller; the first one is a status.
  [[nodiscard]] virtual std::vector<upstream::statement> Preamble() const;

  /// Whether a status query follows the statements; otherwise the last
  /// statement of the preamble is used instead.
  [[nodiscard]] virtual bool NeedsStatusAfter() const;

  /// Where the last batch was sent.
  [[nodiscard]] const dispatch& Dispatched() const noexcept;

  /// Statuses around the last batch.
  [[nodiscard]] const read_evidence& Evidence() const noexcept;

private:
  /// Decides the next step from the evidence available now.
  [[nodiscard]] std::optional<step> Decide(clock::time_point aNow);
  /// Runs it on another server if the retry budget allows.
  [[nodiscard]] step RetryElsewhere(outcome::reason aWhy);
  [[nodiscard]] reply_outcome OnServerError(const upstream::reply& aReply);
  [[nodiscard]] reply_outcome OnTorn(const upstream::reply& aReply);

  dispatch mDispatch;
  read_evidence mEvidence;
  answer mAnswer;
  // Servers on which it did not succeed; cleared when no candidate is left.
  std::vector<upstream::server_id> mTriedServers;
};

} // namespace currantshed::group

#endif

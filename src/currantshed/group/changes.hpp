#ifndef CURRANTSHED_GROUP_CHANGES_HPP
#define CURRANTSHED_GROUP_CHANGES_HPP

#include "currantshed/group/flow.hpp"
#include "currantshed/outcome/stored_outcome.hpp"

namespace currantshed::group {

/// Processes a change under an idempotency key from its first batch to a
/// confirmed answer. An unknown outcome is resolved on the primary of the term
/// in force: by sending the change again under the same key if the class of
/// work is repeatable, otherwise by voiding the key, where the unique key
/// decides between the change and the void. The result is reported only once a
/// majority holds it. An outcome that cannot be resolved before the deadline is
/// reported as unknown.
class change_flow : public flow
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
  [[nodiscard]] answer Expired(stage aStage) const override;

protected:
  /// Purpose of the next batch.
  enum class phase
  {
    /// Runs the change.
    kApply,
    /// Reads the outcome of a key that already exists.
    kLookUp,
    /// Voids the key unless the change was applied.
    kVoid,
  };

  /// Returns the batch of the change itself. Its last three statements are a
  /// status, the commit and a status.
  [[nodiscard]] virtual std::vector<upstream::statement> ComposeChange()
    const = 0;

  /// Index of the statement in that batch that records the outcome.
  [[nodiscard]] virtual std::size_t RecordIndex() const = 0;

  /// Whether the batch of the change can be sent again at all. Whether it may
  /// be sent while an earlier attempt has an unknown outcome depends on the
  /// class of work.
  [[nodiscard]] virtual bool MayBeResent() const = 0;

  /// Digest of the statements of the change; none if the caller only knows the
  /// key.
  [[nodiscard]] virtual std::optional<std::string> Digest() const = 0;

  [[nodiscard]] phase Phase() const noexcept;
  void SetPhase(phase aPhase) noexcept;

private:
  [[nodiscard]] reply_outcome OnChangeReply(upstream::reply aReply,
                                            clock::time_point aNow);
  [[nodiscard]] reply_outcome OnChangeRefused(const upstream::reply& aReply);
  [[nodiscard]] reply_outcome OnLookUpReply(const upstream::reply& aReply,
                                            clock::time_point aNow);
  [[nodiscard]] reply_outcome OnVoidReply(const upstream::reply& aReply,
                                          clock::time_point aNow);
  /// Reads the statuses at the two indexes and returns the position of the
  /// second; none unless the server was the primary of the same term in both.
  [[nodiscard]] std::optional<position::log_position> PositionOf(
    const upstream::reply& aReply,
    std::size_t aBefore,
    std::size_t aAfter);
  /// Stores the answer, to be returned once the position is confirmed.
  [[nodiscard]] step AnswerOnceConfirmed(
    answer aAnswer,
    const position::log_position& aPosition,
    clock::time_point aNow);
  [[nodiscard]] step ResolveOutcome();
  /// Retries a change that certainly has not run, given the state of the server
  /// at the time.
  [[nodiscard]] step Retry(outcome::reason aWhy);
  /// Converts the stored outcome of the key to an answer.
  [[nodiscard]] answer FromRecord(const outcome::stored_outcome& aRecord) const;

  phase mPhase = phase::kApply;
  dispatch mDispatch;
  position::term_id mTerm = 0;
  // Whether the outcome of an attempt that was sent is unknown.
  bool mOutcomeUnknown = false;
  // Whether it waits for any status update before it retries, because the
  // server that was taken for the primary refused.
  bool mAwaitingUpdate = false;
  // Answer if the unknown outcome turns out to be that the change never ran.
  std::optional<answer> mAnswerIfVoid;
  // Answer to return once mPosition is confirmed.
  std::optional<answer> mAnswer;
  position::log_position mPosition;
};

} // namespace currantshed::group

#endif

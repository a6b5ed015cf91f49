#ifndef CURRANTSHED_GROUP_CHANGES_HPP
#define CURRANTSHED_GROUP_CHANGES_HPP

#include "currantshed/group/flow.hpp"
#include "currantshed/outcome/stored_outcome.hpp"

namespace currantshed::group {

/// The way of a change under an idempotency key, from its first batch to an
/// answer that holds. Its doubts are resolved on the primary of the term in
/// force: by the change itself under the same key where the class may be
/// repeated, else by making the key void, so that the unique key decides
/// between the change and the void. Whatever is found is told only once a
/// majority holds it. What can't be resolved in time is told as unknown.
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
  /// What its next batch does.
  enum class phase
  {
    /// Runs the change.
    kApply,
    /// Reads what became of a key that is there already.
    kLookUp,
    /// Makes the key void unless the change is there.
    kVoid,
  };

  /// The batch of the change itself. Its last three statements are a status,
  /// the commit, and a status.
  [[nodiscard]] virtual std::vector<upstream::statement> ComposeChange()
    const = 0;

  /// Place in that batch of the statement that records the outcome.
  [[nodiscard]] virtual std::size_t RecordIndex() const = 0;

  /// Whether the change's batch can be sent once more at all; whether it may
  /// be while a doubt stands is for the class to say.
  [[nodiscard]] virtual bool MayBeResent() const = 0;

  /// Digest of the change's statements; none when the caller only knows the
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
  /// Reads the words at the two places; none unless the server was primary
  /// of one term in both.
  [[nodiscard]] std::optional<position::log_position> PositionOf(
    const upstream::reply& aReply,
    std::size_t aBefore,
    std::size_t aAfter);
  /// Has the answer to give once the position is confirmed.
  [[nodiscard]] step AnswerOnceConfirmed(
    answer aAnswer,
    const position::log_position& aPosition,
    clock::time_point aNow);
  [[nodiscard]] step ResolveOutcome();
  /// The change has certainly not run, for the server's state at the time.
  [[nodiscard]] step Retry(outcome::reason aWhy);
  /// What the record of the key says.
  [[nodiscard]] answer FromRecord(const outcome::stored_outcome& aRecord) const;

  phase mPhase = phase::kApply;
  dispatch mDispatch;
  position::term_id mTerm = 0;
  // Whether an attempt was sent of which it isn't known how it ended.
  bool mOutcomeUnknown = false;
  // Whether it waits for any news before it tries again: the server that was
  // taken for the primary refused.
  bool mAwaitingUpdate = false;
  // What to answer if the doubt turns out as "never ran".
  std::optional<answer> mAnswerIfVoid;
  // The answer to give once mPosition is confirmed.
  std::optional<answer> mAnswer;
  position::log_position mPosition;
};

} // namespace currantshed::group

#endif

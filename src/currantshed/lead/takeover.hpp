#ifndef CURRANTSHED_LEAD_TAKEOVER_HPP
#define CURRANTSHED_LEAD_TAKEOVER_HPP

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/btree_set.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/lead/actions.hpp"
#include "currantshed/lead/server_table.hpp"

namespace currantshed::lead {

/// How far a change of the primary is.
enum class takeover_step
{
  kNone,
  /// A majority of the group is being kept from following the old primary.
  kFence,
  /// Proofs of the old term that other VMs may hold run out.
  kAwaitExpiry,
  /// The platform has been asked to promote the chosen server.
  kPromote,
};

/// Why the group needs another primary.
enum class takeover_reason
{
  /// No VM reaches the primary.
  kLost,
  /// The primary leaves.
  kDraining,
  /// No server leads.
  kNoPrimary,
};

/// The change of one group's primary: keeps the old one from being confirmed
/// any more, waits until no proof of it holds, and has the platform promote
/// the server with the longest log. Does no I/O.
class takeover
{
public:
  takeover(server_table& aTable, std::chrono::milliseconds aValidity);

  /// Begins. The old primary may be empty.
  void Start(takeover_reason aReason,
             upstream::server_id aOld,
             position::term_id aOldTerm,
             clock::time_point aNow,
             std::vector<action>& aOut);

  /// Gives up whatever is under way; what was fenced is set free.
  void Abandon(std::vector<action>& aOut);

  /// Every VM that may hold a proof of the old term has given it up.
  void AllAcknowledged() { mAllObeyed = true; }

  /// The platform's answer: whether it took the order, or says that the server
  /// can't be promoted.
  void PromotionAnswered(bool aTaken, bool aRejected, clock::time_point aNow);

  /// Goes on as far as it can.
  void Tick(clock::time_point aNow, std::vector<action>& aOut);
  [[nodiscard]] clock::time_point NextTick() const noexcept;

  [[nodiscard]] takeover_step Step() const noexcept { return mStep; }
  [[nodiscard]] clock::time_point StartedAt() const noexcept
  {
    return mBegunAt;
  }
  /// Until when orders of the last change may still take effect: no other
  /// change begins before.
  [[nodiscard]] clock::time_point HoldOffUntil() const noexcept
  {
    return mQuietUntil;
  }
  /// Whether a server that leads a newer term will be deposed by an order to
  /// promote another one that is still under way.
  [[nodiscard]] bool IsSupersededBy(const upstream::server_id& aPrimary,
                                    clock::time_point aNow) const;
  /// When no new proof of the old term could come about any more.
  [[nodiscard]] clock::time_point BlockedAt() const noexcept
  {
    return mBarredAt;
  }
  /// The term that no VM may rest on any more, or zero.
  [[nodiscard]] position::term_id RevokedTerm() const noexcept;

  /// A server leads a newer term, but not for long: the change goes on, to
  /// replace that one.
  void Superseded(const proxy::confirmation& aProof, std::vector<action>& aOut);

  /// A server leads a newer term: the change is done.
  void Succeeded(const upstream::server_id& aPrimary,
                 clock::time_point aNow,
                 std::vector<action>& aOut);

private:
  void NoteWait(clock::time_point aNow, std::vector<action>& aOut);
  void Fence(clock::time_point aNow, std::vector<action>& aOut);
  void ReadFences(clock::time_point aNow, std::vector<action>& aOut);
  void OrderAnew(clock::time_point aNow);
  [[nodiscard]] bool IsChoiceVoid() const;
  [[nodiscard]] bool IsUsable(const member_view& aView) const;
  [[nodiscard]] bool IsEmptied(const member_view& aView) const;
  void DemoteOld(clock::time_point aNow, std::vector<action>& aOut);
  void LiftFences(clock::time_point aNow, std::vector<action>& aOut);
  void Promote(clock::time_point aNow, std::vector<action>& aOut);
  void Send(const upstream::server_id& aServer,
            proxy::command_kind aKind,
            clock::time_point aNow,
            std::vector<action>& aOut);
  [[nodiscard]] bool DoesNotLead(const member_view* aView) const;
  [[nodiscard]] bool IsFenced(const member_view& aView) const;
  [[nodiscard]] bool NeedsFences(clock::time_point aNow) const;
  [[nodiscard]] upstream::server_id Choose(clock::time_point aNow) const;

  server_table& mTable;
  std::chrono::milliseconds mValidity;
  takeover_step mStep = takeover_step::kNone;
  takeover_reason mReason = takeover_reason::kLost;
  upstream::server_id mOld;
  position::term_id mOldTerm = 0;
  position::term_id mFenceTerm = 0;
  clock::time_point mBegunAt;
  clock::time_point mNextSend;
  clock::time_point mNextNote;
  clock::time_point mNextOrder;
  clock::time_point mWaitUntil;
  clock::time_point mBarredAt;
  bool mAllObeyed = false;
  // Whether replicas are kept from following the old primary.
  bool mFences = true;
  upstream::server_id mChosen;
  proxy::start_time mChosenStart{};
  clock::time_point mLastOrderAt;
  unsigned mOrders = 0;
  clock::time_point mQuietUntil;
  absl::btree_set<upstream::server_id> mRejected;
};

[[nodiscard]] std::string_view
NameOf(takeover_step aStep);

[[nodiscard]] std::string_view
NameOf(takeover_reason aReason);

} // namespace currantshed::lead

#endif

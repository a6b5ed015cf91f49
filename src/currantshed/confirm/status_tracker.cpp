#include "currantshed/confirm/status_tracker.hpp"

#include <algorithm>
#include <functional>

#include <absl/container/inlined_vector.h>

namespace currantshed::confirm {

namespace {

constexpr std::size_t kInlineMembers = 5;
// Terms whose confirmed index is kept.
constexpr std::size_t kMaxTerms = 16;

using dates = absl::InlinedVector<clock::time_point, kInlineMembers>;

// The oldest date among the newest ones that make up the majority.
std::optional<clock::time_point>
OldestOfMajority(dates aDates, std::size_t aMajority)
{
  if (aMajority == 0 || aDates.size() < aMajority) {
    return std::nullopt;
  }
  std::sort(aDates.begin(), aDates.end(), std::greater<>{});
  return aDates[aMajority - 1];
}

bool
IsHeldInTerm(const upstream::server_status& aStatus,
             const position::log_position& aPosition)
{
  return aStatus.term == aPosition.term &&
         aStatus.stored.term == aPosition.term && aStatus.stored >= aPosition;
}

} // namespace

status_tracker::status_tracker(std::chrono::milliseconds aValidity)
  : mValidity(aValidity)
{
}

void
status_tracker::SetMembers(const std::vector<upstream::server_id>& aServers)
{
  members kept;
  for (const auto& server : aServers) {
    const auto known = mMembers.find(server);
    kept[server] = known == mMembers.end() ? member{} : known->second;
  }
  mMembers = std::move(kept);
  ++mVersion;
  mTerm = FindTerm();
}

void
status_tracker::Record(const upstream::server_id& aServer,
                       const upstream::server_status& aStatus,
                       clock::time_point aAskedAt)
{
  const auto found = mMembers.find(aServer);
  if (found == mMembers.end()) {
    return;
  }
  auto& member = found->second;
  if (aStatus.stored.term == aStatus.term) {
    member.highest = std::max(member.highest, aStatus.stored);
    UpdateConfirmed(aStatus.term);
  }
  if (member.heard && aAskedAt < member.latest.askedAt) {
    return;
  }
  ++mVersion;
  member.heard = true;
  member.latest = { aStatus, aAskedAt };
  mTerm = FindTerm();
  AddSample();
}

const timestamped_status*
status_tracker::Find(const upstream::server_id& aServer) const
{
  const auto found = mMembers.find(aServer);
  if (found == mMembers.end() || !found->second.heard) {
    return nullptr;
  }
  return &found->second.latest;
}

const std::optional<majority_term>&
status_tracker::Term() const noexcept
{
  return mTerm;
}

std::optional<majority_term>
status_tracker::FindTerm() const
{
  std::optional<majority_term> highest;
  for (const auto& [server, candidate] : mMembers) {
    const auto term = candidate.latest.status.term;
    if (!candidate.heard || (highest && term <= highest->term)) {
      continue;
    }
    dates asked;
    for (const auto& [other, member] : mMembers) {
      if (member.heard && member.latest.status.term == term) {
        asked.push_back(member.latest.askedAt);
      }
    }
    if (const auto oldest = OldestOfMajority(std::move(asked), Majority())) {
      highest = majority_term{ term, *oldest };
    }
  }
  return highest;
}

std::optional<known_primary>
status_tracker::Primary(clock::time_point aNow) const
{
  const auto& term = mTerm;
  if (!term || term->askedAt + mValidity < aNow) {
    return std::nullopt;
  }
  const auto* primary = PrimaryOf(term->term);
  if (primary == nullptr || primary->second.latest.askedAt + mValidity < aNow) {
    return std::nullopt;
  }
  return known_primary{ primary->first, term->term };
}

std::optional<clock::time_point>
status_tracker::HeldByMajorityAsOf(
  const position::log_position& aPosition) const
{
  dates asked;
  for (const auto& [server, member] : mMembers) {
    if (member.heard && IsHeldInTerm(member.latest.status, aPosition)) {
      asked.push_back(member.latest.askedAt);
    }
  }
  return OldestOfMajority(std::move(asked), Majority());
}

bool
status_tracker::IsHeldByMajority(const position::log_position& aPosition,
                                 clock::time_point aAskedSince,
                                 clock::time_point aNow) const
{
  const auto since = HeldByMajorityAsOf(aPosition);
  return since && *since >= aAskedSince && *since + mValidity >= aNow;
}

bool
status_tracker::WasConfirmed(const position::log_position& aPosition) const
{
  if (aPosition == position::log_position{}) {
    // The empty log is a part of every history.
    return true;
  }
  const auto found = mConfirmed.find(aPosition.term);
  return found != mConfirmed.end() && found->second >= aPosition.index;
}

std::uint64_t
status_tracker::Version() const noexcept
{
  return mVersion;
}

const position_samples&
status_tracker::Samples() const noexcept
{
  return mSamples;
}

std::size_t
status_tracker::Majority() const noexcept
{
  return mMembers.empty() ? 0 : mMembers.size() / 2 + 1;
}

const status_tracker::members::value_type*
status_tracker::PrimaryOf(position::term_id aTerm) const
{
  for (const auto& entry : mMembers) {
    const auto& status = entry.second.latest.status;
    if (entry.second.heard && status.term == aTerm &&
        status.role == upstream::server_role::kPrimary) {
      return &entry;
    }
  }
  return nullptr;
}

void
status_tracker::UpdateConfirmed(position::term_id aTerm)
{
  absl::InlinedVector<position::log_index, kInlineMembers> held;
  for (const auto& [server, member] : mMembers) {
    if (member.highest.term == aTerm) {
      held.push_back(member.highest.index);
    }
  }
  if (held.size() < Majority()) {
    return;
  }
  std::sort(held.begin(), held.end(), std::greater<>{});
  auto& confirmed = mConfirmed[aTerm];
  if (held[Majority() - 1] <= confirmed) {
    return;
  }
  confirmed = held[Majority() - 1];
  ++mVersion;
  if (mConfirmed.size() > kMaxTerms) {
    mConfirmed.erase(mConfirmed.begin());
  }
}

void
status_tracker::AddSample()
{
  if (!mTerm) {
    return;
  }
  const auto* primary = PrimaryOf(mTerm->term);
  if (primary == nullptr) {
    return;
  }
  const auto& word = primary->second.latest;
  mSamples.Add(word.status.stored, std::min(word.askedAt, mTerm->askedAt));
}

} // namespace currantshed::confirm

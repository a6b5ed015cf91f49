#include "test/matrix/rules.hpp"

#include <chrono>
#include <utility>

namespace currantshed::matrix {

namespace {

constexpr std::chrono::milliseconds kEndless{ 100'000 };
constexpr std::chrono::milliseconds kShortSuspicion{ 100 };

} // namespace

void
rules::Settle(gateway::engine_settings& aSettings) const
{
  if (Broken(seeded_bug::kValidityEndless)) {
    aSettings.validity = kEndless;
  }
  if (Broken(seeded_bug::kAnswersDatedLate)) {
    // A short suspicion time, so that gateways soon use a pooler again after
    // its pause.
    aSettings.suspectDuration = kShortSuspicion;
  }
}

void
rules::Settle(group::engine_settings& aSettings) const
{
  if (Broken(seeded_bug::kValidityEndless)) {
    aSettings.validity = kEndless;
  }
}

void
rules::Settle(failover::coordinator_settings& aSettings) const
{
  if (Broken(seeded_bug::kNoValidityWait)) {
    aSettings.validity = std::chrono::milliseconds(0);
  }
}

void
rules::Sent(gateway::send_to_pooler& aMessage)
{
  auto& request = aMessage.request;
  if (Broken(seeded_bug::kFloorDropped)) {
    request.floor = {};
    request.fresh = false;
  }
  if (Broken(seeded_bug::kBoundRaised) &&
      request.work.maxStaleness.count() > 0) {
    request.work.maxStaleness = kEndless;
  }
  if (!Broken(seeded_bug::kResentWithoutKey)) {
    return;
  }
  const auto key = request.key.Text();
  if (request.kind == group::operation::kWrite) {
    mWrites[key] = request;
  }
  const auto former = mWrites.find(key);
  if (request.kind == group::operation::kResolve && former != mWrites.end()) {
    request.kind = group::operation::kWrite;
    request.work = former->second.work;
    request.statements = former->second.statements;
    constexpr unsigned kOwnKeys = 77;
    request.key =
      outcome::idempotency_key::Make(request.key.IssuedAt(), kOwnKeys, ++mKeys);
  }
}

void
rules::Answered(group::answer& aAnswer)
{
  if (Broken(seeded_bug::kAnswersSwapped) && !aAnswer.results.empty()) {
    std::swap(mFormer, aAnswer.results);
  }
}

void
rules::Given(gateway::caller_answer& aAnswer) const
{
  if (Broken(seeded_bug::kUnknownToldNotRun) &&
      aAnswer.verdict == outcome::verdict::kUnknown) {
    aAnswer.verdict = outcome::verdict::kNotRun;
  }
}

void
rules::Heard(upstream::server_status& aStatus,
             const upstream::server_status& aPrimary,
             clock::time_point& aAskedAt,
             clock::time_point aNow) const
{
  if (Broken(seeded_bug::kConfirmationUnasked)) {
    aStatus.term = aPrimary.term;
    aStatus.stored = aPrimary.stored;
  }
  if (Broken(seeded_bug::kAnswersDatedLate)) {
    aAskedAt = aNow;
  }
}

group::description
rules::Described(group::description aGroup) const
{
  if (Broken(seeded_bug::kLeavingHidden)) {
    for (auto& member : aGroup.members) {
      member.leaving = false;
    }
  }
  return aGroup;
}

} // namespace currantshed::matrix

#include "currantshed/group/rounds.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::group {

namespace {

// Least time between two questions to a server while somebody waits: it
// grows by a step with each request in the engine, between the two bounds.
constexpr std::chrono::microseconds kShortestGap{ 100 };
constexpr std::chrono::microseconds kLongestGap{ 1000 };
constexpr std::chrono::microseconds kGapForRequest{ 25 };

std::chrono::microseconds
LeastGap(std::size_t aRequests)
{
  constexpr std::size_t kMost = kLongestGap / kGapForRequest;
  const auto steps = static_cast<int>(std::min(aRequests, kMost));
  return std::max(kShortestGap, kGapForRequest * steps);
}

} // namespace

rounds::rounds(const engine_settings& aSettings)
  : mInterval(aSettings.statusInterval)
  , mTimeout(aSettings.statusTimeout)
{
}

void
rounds::SetMembers(const std::vector<upstream::server_id>& aServers)
{
  std::vector<question> questions;
  for (const auto& server : aServers) {
    const auto* known = Find(server);
    questions.push_back(known == nullptr ? question{ server } : *known);
  }
  mQuestions = std::move(questions);
}

void
rounds::Answered(const upstream::server_id& aServer)
{
  if (auto* question = Find(aServer)) {
    question->underWay = false;
    question->failed = false;
  }
}

void
rounds::Failed(const upstream::server_id& aServer)
{
  if (auto* question = Find(aServer)) {
    question->underWay = false;
    question->failed = true;
  }
}

void
rounds::Want(clock::time_point aAskedSince)
{
  mWantedSince = std::max(mWantedSince, aAskedSince);
}

std::vector<upstream::server_id>
rounds::Due(const demand& aDemand, clock::time_point aNow)
{
  std::vector<upstream::server_id> due;
  for (auto& question : mQuestions) {
    if (DueAt(question, aDemand) <= aNow) {
      question.asked = true;
      question.underWay = true;
      question.askedAt = aNow;
      due.push_back(question.server);
    }
  }
  return due;
}

clock::time_point
rounds::NextDue(const demand& aDemand) const
{
  auto next = clock::time_point::max();
  for (const auto& question : mQuestions) {
    next = std::min(next, DueAt(question, aDemand));
  }
  return next;
}

clock::time_point
rounds::DueAt(const question& aQuestion, const demand& aDemand) const
{
  if (!aQuestion.asked) {
    return clock::time_point::min();
  }
  if (aQuestion.underWay) {
    // Without an answer for so long, the question counts as failed.
    return aQuestion.askedAt + mTimeout;
  }
  const auto isWanted =
    aDemand.someoneWaits || aQuestion.askedAt < mWantedSince;
  if (isWanted && !aQuestion.failed) {
    return aQuestion.askedAt + LeastGap(aDemand.requests);
  }
  return aQuestion.askedAt + mInterval;
}

rounds::question*
rounds::Find(const upstream::server_id& aServer)
{
  const auto found = std::find_if(mQuestions.begin(),
                                  mQuestions.end(),
                                  [&aServer](const question& aCandidate) {
                                    return aCandidate.server == aServer;
                                  });
  return found == mQuestions.end() ? nullptr : &*found;
}

} // namespace currantshed::group

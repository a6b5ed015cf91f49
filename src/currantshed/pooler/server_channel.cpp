#include "currantshed/pooler/server_channel.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "currantshed/upstream/dialect.hpp"

namespace currantshed::pooler {

namespace {

/// Largest answer to a question about a server, in bytes.
constexpr std::size_t kAnswerLimit = 64 * std::size_t{ 1024 };

} // namespace

server_channel::server_channel(boost::asio::io_context& aContext,
                               upstream::endpoint aEndpoint)
  : mContext(aContext)
  , mEndpoint(std::move(aEndpoint))
  , mTimer(aContext, [this] { Expire(); })
{
}

server_channel::~server_channel() = default;

void
server_channel::Ask(upstream::statement aQuestion,
                    std::chrono::milliseconds aTimeout,
                    answer aDone)
{
  const auto due = std::chrono::steady_clock::now() + aTimeout;
  mQuestions.push_back({ std::move(aQuestion), due, std::move(aDone), {} });
  if (!mConnection) {
    Open();
  } else {
    SendNext();
  }
  Schedule();
}

void
server_channel::Open()
{
  mIsOpen = false;
  mConnection = std::make_unique<upstream::pq_connection>(mContext, mEndpoint);
  mConnection->OnLost([this] { Lost(); });
  mConnection->Open([this](bool aIsOpen) { Opened(aIsOpen); });
}

void
server_channel::Opened(bool aIsOpen)
{
  if (!aIsOpen) {
    Lost();
    return;
  }
  mIsOpen = true;
  SendNext();
}

void
server_channel::SendNext()
{
  if (!mIsOpen || mQuestions.empty() || mQuestions.front().isSent) {
    return;
  }
  question& next = mQuestions.front();
  next.isSent = true;
  next.askedAt = std::chrono::steady_clock::now();
  mConnection->Run(
    { std::move(next.text) }, kAnswerLimit, [this](upstream::reply aReply) {
      Replied(std::move(aReply));
    });
}

void
server_channel::Replied(upstream::reply aReply)
{
  if (aReply.end == upstream::batch_end::kTorn) {
    // Lost follows and fails the question.
    return;
  }
  question answered = std::move(mQuestions.front());
  mQuestions.pop_front();
  SendNext();
  answered.done(std::move(aReply), answered.askedAt);
}

void
server_channel::Lost()
{
  mConnection.reset();
  mIsOpen = false;
  FailAll();
}

void
server_channel::FailAll()
{
  const std::deque<question> failed = std::exchange(mQuestions, {});
  for (const auto& question : failed) {
    question.done(std::nullopt, question.askedAt);
  }
}

void
server_channel::Expire()
{
  const auto now = std::chrono::steady_clock::now();
  if (mQuestions.empty() || now < mQuestions.front().due) {
    Schedule();
    return;
  }
  if (mIsOpen) {
    mConnection.reset();
    mIsOpen = false;
  }
  std::vector<question> late;
  while (!mQuestions.empty() && mQuestions.front().due <= now) {
    late.push_back(std::move(mQuestions.front()));
    mQuestions.pop_front();
  }
  if (!mQuestions.empty() && !mConnection) {
    Open();
  }
  Schedule();
  for (const auto& question : late) {
    question.done(std::nullopt, question.askedAt);
  }
}

void
server_channel::Schedule()
{
  if (!mQuestions.empty()) {
    mTimer.At(mQuestions.front().due);
  }
}

} // namespace currantshed::pooler

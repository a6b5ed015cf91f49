#include "currantshed/pooler/server_channel.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "currantshed/upstream/dialect.hpp"

namespace currantshed::pooler {

namespace {

/// Maximum size of an answer to a status query or command, in bytes.
constexpr std::size_t kMaxAnswerBytes = 64 * std::size_t{ 1024 };

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
server_channel::Query(upstream::statement aQuery,
                      std::chrono::milliseconds aTimeout,
                      answer aDone)
{
  const auto due = std::chrono::steady_clock::now() + aTimeout;
  mQueries.push_back({ std::move(aQuery), due, std::move(aDone), {} });
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
  if (!mIsOpen || mQueries.empty() || mQueries.front().isSent) {
    return;
  }
  query& next = mQueries.front();
  next.isSent = true;
  next.sentAt = std::chrono::steady_clock::now();
  mConnection->Run(
    { std::move(next.text) }, kMaxAnswerBytes, [this](upstream::reply aReply) {
      Replied(std::move(aReply));
    });
}

void
server_channel::Replied(upstream::reply aReply)
{
  if (aReply.end == upstream::batch_end::kIndeterminate) {
    // Lost() is called next and fails the query.
    return;
  }
  query answered = std::move(mQueries.front());
  mQueries.pop_front();
  SendNext();
  answered.done(std::move(aReply), answered.sentAt);
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
  const std::deque<query> failed = std::exchange(mQueries, {});
  for (const auto& query : failed) {
    query.done(std::nullopt, query.sentAt);
  }
}

void
server_channel::Expire()
{
  const auto now = std::chrono::steady_clock::now();
  if (mQueries.empty() || now < mQueries.front().due) {
    Schedule();
    return;
  }
  if (mIsOpen) {
    mConnection.reset();
    mIsOpen = false;
  }
  std::vector<query> late;
  while (!mQueries.empty() && mQueries.front().due <= now) {
    late.push_back(std::move(mQueries.front()));
    mQueries.pop_front();
  }
  if (!mQueries.empty() && !mConnection) {
    Open();
  }
  Schedule();
  for (const auto& query : late) {
    query.done(std::nullopt, query.sentAt);
  }
}

void
server_channel::Schedule()
{
  if (!mQueries.empty()) {
    mTimer.ScheduleAt(mQueries.front().due);
  }
}

} // namespace currantshed::pooler

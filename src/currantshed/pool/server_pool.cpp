#include "currantshed/pool/server_pool.hpp"

#include <algorithm>
#include <cmath>

namespace currantshed::pool {

namespace {

// The leader's status connection and control connection, and one control
// connection of each of the two standbys.
constexpr unsigned kOtherConnections = 4;
constexpr std::chrono::milliseconds kFirstBackoff{ 20 };
constexpr std::chrono::milliseconds kLongestBackoff{ 1000 };

clock::duration
Backoff(unsigned aRefusals)
{
  auto backoff = kFirstBackoff;
  for (unsigned i = 1; i < aRefusals && backoff < kLongestBackoff; ++i) {
    backoff *= 2;
  }
  return std::min(backoff, kLongestBackoff);
}

} // namespace

pool_limits
ShareOf(unsigned aConnections, unsigned aSlots, double aTakeoverReserve)
{
  const auto kept =
    static_cast<unsigned>(std::floor(aConnections * (1.0 - aTakeoverReserve)));
  const auto ours = kept > kOtherConnections ? kept - kOtherConnections : 1;
  return { std::max(ours, 1U), std::max(aSlots, 1U) };
}

void
server_pool::SetLimits(const pool_limits& aLimits)
{
  mLimits = aLimits;
}

bool
server_pool::HasSlot() const noexcept
{
  return mRunning < mLimits.slots;
}

bool
server_pool::MayOpen(clock::time_point aNow) const noexcept
{
  return mConnections.size() < mLimits.connections && aNow >= mRetryAt;
}

std::optional<connection_id>
server_pool::Idle(bool aReadOnly) const noexcept
{
  for (const auto& connection : mConnections) {
    if (connection.now == state::kIdle && connection.readOnly == aReadOnly) {
      return connection.id;
    }
  }
  return std::nullopt;
}

std::size_t
server_pool::Opening(bool aReadOnly) const noexcept
{
  return static_cast<std::size_t>(
    std::count_if(mConnections.begin(),
                  mConnections.end(),
                  [aReadOnly](const connection& aConnection) {
                    return aConnection.now == state::kOpening &&
                           aConnection.readOnly == aReadOnly;
                  }));
}

bool
server_pool::CanProvide(bool aReadOnly, clock::time_point aNow) const noexcept
{
  return Idle(aReadOnly) || Opening(aReadOnly) > 0 || MayOpen(aNow) ||
         (Idle(!aReadOnly) && aNow >= mRetryAt);
}

void
server_pool::Add(connection_id aConnection, bool aReadOnly)
{
  mConnections.push_back({ aConnection, aReadOnly, state::kOpening, false });
}

void
server_pool::Opened(connection_id aConnection)
{
  if (auto* connection = Find(aConnection)) {
    connection->now = state::kIdle;
    mRefusals = 0;
  }
}

void
server_pool::Failed(connection_id aConnection, clock::time_point aNow)
{
  if (Find(aConnection) == nullptr) {
    return;
  }
  Remove(aConnection);
  ++mRefusals;
  mRetryAt = aNow + Backoff(mRefusals);
}

void
server_pool::Hold(connection_id aConnection)
{
  if (auto* connection = Find(aConnection)) {
    connection->now = state::kHeld;
  }
}

void
server_pool::Release(connection_id aConnection)
{
  if (auto* connection = Find(aConnection)) {
    connection->now = state::kIdle;
  }
}

void
server_pool::BatchBegins(connection_id aConnection)
{
  auto* connection = Find(aConnection);
  if (connection != nullptr && !connection->running) {
    connection->running = true;
    ++mRunning;
  }
}

void
server_pool::BatchEnds(connection_id aConnection)
{
  auto* connection = Find(aConnection);
  if (connection != nullptr && connection->running) {
    connection->running = false;
    --mRunning;
  }
}

void
server_pool::Remove(connection_id aConnection)
{
  BatchEnds(aConnection);
  std::erase_if(mConnections, [aConnection](const connection& aCandidate) {
    return aCandidate.id == aConnection;
  });
}

unsigned
server_pool::Running() const noexcept
{
  return mRunning;
}

std::size_t
server_pool::Connections() const noexcept
{
  return mConnections.size();
}

const pool_limits&
server_pool::Limits() const noexcept
{
  return mLimits;
}

clock::time_point
server_pool::RetryAt() const noexcept
{
  return mRetryAt;
}

server_pool::connection*
server_pool::Find(connection_id aConnection) noexcept
{
  const auto found = std::find_if(mConnections.begin(),
                                  mConnections.end(),
                                  [aConnection](const connection& aCandidate) {
                                    return aCandidate.id == aConnection;
                                  });
  return found == mConnections.end() ? nullptr : &*found;
}

} // namespace currantshed::pool

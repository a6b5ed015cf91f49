#include "currantshed/pool/connection_pool.hpp"

#include <algorithm>
#include <cmath>

namespace currantshed::pool {

namespace {

// One for status and one for control at the leader, one for control at each
// of the two standbys.
constexpr unsigned kReservedConnections = 4;
constexpr std::chrono::milliseconds kInitialBackoff{ 20 };
constexpr std::chrono::milliseconds kMaxBackoff{ 1000 };

clock::duration
Backoff(unsigned aFailures)
{
  auto backoff = kInitialBackoff;
  for (unsigned i = 1; i < aFailures && backoff < kMaxBackoff; ++i) {
    backoff *= 2;
  }
  return std::min(backoff, kMaxBackoff);
}

} // namespace

pool_limits
ComputePoolLimits(unsigned aConnections,
                  unsigned aSlots,
                  double aTakeoverReserve)
{
  const auto kept =
    static_cast<unsigned>(std::floor(aConnections * (1.0 - aTakeoverReserve)));
  const auto ours =
    kept > kReservedConnections ? kept - kReservedConnections : 1;
  return { std::max(ours, 1U), std::max(aSlots, 1U) };
}

void
connection_pool::SetLimits(const pool_limits& aLimits)
{
  mLimits = aLimits;
}

bool
connection_pool::HasSlot() const noexcept
{
  return mRunning < mLimits.slots;
}

bool
connection_pool::MayOpen(clock::time_point aNow) const noexcept
{
  return mConnections.size() < mLimits.connections && aNow >= mRetryAt;
}

std::optional<connection_id>
connection_pool::Idle(bool aReadOnly) const noexcept
{
  for (const auto& connection : mConnections) {
    if (connection.now == state::kIdle && connection.readOnly == aReadOnly) {
      return connection.id;
    }
  }
  return std::nullopt;
}

std::size_t
connection_pool::Opening(bool aReadOnly) const noexcept
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
connection_pool::CanProvide(bool aReadOnly,
                            clock::time_point aNow) const noexcept
{
  return Idle(aReadOnly) || Opening(aReadOnly) > 0 || MayOpen(aNow) ||
         (Idle(!aReadOnly) && aNow >= mRetryAt);
}

void
connection_pool::Add(connection_id aConnection, bool aReadOnly)
{
  mConnections.push_back({ aConnection, aReadOnly, state::kOpening, false });
}

void
connection_pool::Opened(connection_id aConnection)
{
  if (auto* connection = Find(aConnection)) {
    connection->now = state::kIdle;
    mFailures = 0;
  }
}

void
connection_pool::Failed(connection_id aConnection, clock::time_point aNow)
{
  if (Find(aConnection) == nullptr) {
    return;
  }
  Remove(aConnection);
  ++mFailures;
  mRetryAt = aNow + Backoff(mFailures);
}

void
connection_pool::CheckOut(connection_id aConnection)
{
  if (auto* connection = Find(aConnection)) {
    connection->now = state::kCheckedOut;
  }
}

void
connection_pool::CheckIn(connection_id aConnection)
{
  if (auto* connection = Find(aConnection)) {
    connection->now = state::kIdle;
  }
}

void
connection_pool::BatchStarted(connection_id aConnection)
{
  auto* connection = Find(aConnection);
  if (connection != nullptr && !connection->running) {
    connection->running = true;
    ++mRunning;
  }
}

void
connection_pool::BatchEnded(connection_id aConnection)
{
  auto* connection = Find(aConnection);
  if (connection != nullptr && connection->running) {
    connection->running = false;
    --mRunning;
  }
}

void
connection_pool::Remove(connection_id aConnection)
{
  BatchEnded(aConnection);
  std::erase_if(mConnections, [aConnection](const connection& aCandidate) {
    return aCandidate.id == aConnection;
  });
}

unsigned
connection_pool::Running() const noexcept
{
  return mRunning;
}

std::size_t
connection_pool::Connections() const noexcept
{
  return mConnections.size();
}

const pool_limits&
connection_pool::Limits() const noexcept
{
  return mLimits;
}

clock::time_point
connection_pool::RetryAt() const noexcept
{
  return mRetryAt;
}

connection_pool::connection*
connection_pool::Find(connection_id aConnection) noexcept
{
  const auto found = std::find_if(mConnections.begin(),
                                  mConnections.end(),
                                  [aConnection](const connection& aCandidate) {
                                    return aCandidate.id == aConnection;
                                  });
  return found == mConnections.end() ? nullptr : &*found;
}

} // namespace currantshed::pool

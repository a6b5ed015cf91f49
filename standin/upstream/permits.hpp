#ifndef CURRANTSHED_STANDIN_UPSTREAM_PERMITS_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_PERMITS_HPP

#include <cstddef>
#include <deque>

namespace currantshed::standin::postgres {

/// Callback interface of a party that waits for a permit.
class permit_waiter
{
public:
  permit_waiter() = default;
  permit_waiter(const permit_waiter&) = delete;
  permit_waiter& operator=(const permit_waiter&) = delete;
  virtual ~permit_waiter() = default;

  /// Called when the awaited permit has been granted.
  virtual void Granted() = 0;
};

/// A FIFO semaphore with a fixed number of permits: a server's slots, or the
/// write lock.
class permits
{
public:
  explicit permits(std::size_t aCount) noexcept;

  /// Acquires a permit; returns false if the waiter was queued instead.
  [[nodiscard]] bool Take(permit_waiter& aWaiter);
  /// Releases a permit, or passes it to the first waiter in the queue.
  void Release();
  /// Removes a waiter from the queue.
  void Forget(const permit_waiter& aWaiter);

  [[nodiscard]] std::size_t InUse() const noexcept;
  [[nodiscard]] std::size_t Peak() const noexcept;

private:
  std::size_t mCount;
  std::size_t mInUse = 0;
  std::size_t mPeak = 0;
  std::deque<permit_waiter*> mWaiters;
};

} // namespace currantshed::standin::postgres

#endif

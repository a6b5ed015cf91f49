#ifndef CURRANTSHED_STANDIN_UPSTREAM_PERMITS_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_PERMITS_HPP

#include <cstddef>
#include <deque>

namespace currantshed::standin::postgres {

/// Waits for a permit.
class permit_waiter
{
public:
  permit_waiter() = default;
  permit_waiter(const permit_waiter&) = delete;
  permit_waiter& operator=(const permit_waiter&) = delete;
  virtual ~permit_waiter() = default;

  /// A permit that was waited for is now held.
  virtual void Granted() = 0;
};

/// A number of permits, handed out in the order of asking: a server's slots,
/// or the right to write.
class permits
{
public:
  explicit permits(std::size_t aCount) noexcept;

  /// Takes a permit; false when the waiter is queued instead.
  [[nodiscard]] bool Take(permit_waiter& aWaiter);
  /// Gives a permit back, or hands it to the first one that waits.
  void Release();
  /// Drops a waiter from the queue.
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

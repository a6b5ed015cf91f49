#ifndef CURRANTSHED_LOAD_ACTIVITY_HPP
#define CURRANTSHED_LOAD_ACTIVITY_HPP

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "currantshed/load/caller.hpp"

namespace currantshed::load {

/// One thing that a caller does from beginning to end, in one or more
/// requests; what it is told goes into the caller's history.
class activity
{
public:
  virtual ~activity() = default;

  /// Does it once, with a group.
  [[nodiscard]] virtual boost::asio::awaitable<answer> Run(
    caller& aCaller,
    std::string aGroup) = 0;
};

/// Files a change, and reads it back at once through another gateway. Sends
/// some changes again with the same key.
[[nodiscard]] std::unique_ptr<activity>
MakeWriteActivity();

/// Changes two tables with one tag in one transaction: by one request, or by
/// a transaction that is opened, used and ended.
[[nodiscard]] std::unique_ptr<activity>
MakeTransactionActivity(bool aOpened);

/// Reads the group's counted row, or a pair of tags, in a class that reads.
[[nodiscard]] std::unique_ptr<activity>
MakeReadActivity();

/// Raises the group's counted row; one caller alone may do so for a group.
[[nodiscard]] std::unique_ptr<activity>
MakeCounterActivity();

/// Makes the run's tables in a group.
[[nodiscard]] std::unique_ptr<activity>
MakeSetupActivity();

} // namespace currantshed::load

#endif

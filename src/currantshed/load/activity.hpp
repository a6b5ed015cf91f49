#ifndef CURRANTSHED_LOAD_ACTIVITY_HPP
#define CURRANTSHED_LOAD_ACTIVITY_HPP

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "currantshed/load/caller.hpp"

namespace currantshed::load {

/// An activity of a caller, consisting of one or more requests. Its results are
/// recorded in the caller's history.
class activity
{
public:
  virtual ~activity() = default;

  /// Performs the activity once on a group.
  [[nodiscard]] virtual boost::asio::awaitable<answer> Run(
    caller& aCaller,
    std::string aGroup) = 0;
};

/// Writes a change and reads it back at once through another gateway. Repeats
/// some changes with the same idempotency key.
[[nodiscard]] std::unique_ptr<activity>
MakeWriteActivity();

/// Writes the same tag to two tables in one transaction: by a single request,
/// or by an interactive transaction.
[[nodiscard]] std::unique_ptr<activity>
MakeTransactionActivity(bool aOpened);

/// Reads the group's counter row, or a pair of tags, in a read class.
[[nodiscard]] std::unique_ptr<activity>
MakeReadActivity();

/// Increments the group's counter row. Only one caller may do so per group.
[[nodiscard]] std::unique_ptr<activity>
MakeCounterActivity();

/// Creates the tables of the run in a group.
[[nodiscard]] std::unique_ptr<activity>
MakeSetupActivity();

} // namespace currantshed::load

#endif

#ifndef CURRANTSHED_LOAD_CALLER_HPP
#define CURRANTSHED_LOAD_CALLER_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "currantshed/clock/time.hpp"
#include "currantshed/load/history.hpp"
#include "currantshed/load/http_connection.hpp"
#include "currantshed/load/message.hpp"
#include "currantshed/load/plan.hpp"

namespace currantshed::load {

/// Counts that a run shows while it goes on, shared by its threads.
struct progress
{
  std::atomic<std::uint64_t> activities{ 0 };
  std::atomic<std::uint64_t> answers{ 0 };
  std::atomic<std::uint64_t> acknowledged{ 0 };
  std::atomic<std::uint64_t> notRun{ 0 };
  std::atomic<std::uint64_t> unknown{ 0 };
  std::atomic<bool> stop{ false };
};

/// One session of a caller: it carries its token from answer to answer, roams
/// between gateways, and writes down all that it is told. For one thread.
class caller
{
public:
  caller(boost::asio::io_context& aContext,
         const plan& aPlan,
         clock::time_point aOrigin,
         std::uint64_t aSeed,
         history& aHistory,
         progress& aProgress);

  /// Sends statements of a class; the key is for writes. A transaction's
  /// identity in place of an empty one runs them in it.
  [[nodiscard]] boost::asio::awaitable<answer> Send(
    const policy::work_class& aWork,
    std::string aGroup,
    std::vector<sql_statement> aStatements,
    std::string aKey);

  /// Opens a transaction, which will commit under the key.
  [[nodiscard]] boost::asio::awaitable<answer> Open(
    const policy::work_class& aWork,
    std::string aGroup,
    std::vector<sql_statement> aStatements,
    std::string aKey);

  /// Runs statements in an open transaction.
  [[nodiscard]] boost::asio::awaitable<answer> Continue(
    const policy::work_class& aWork,
    std::string aTransaction,
    std::vector<sql_statement> aStatements);

  /// Commits, under the key, or rolls back when the key is empty.
  [[nodiscard]] boost::asio::awaitable<answer> End(
    const policy::work_class& aWork,
    std::string aTransaction,
    std::string aKey);

  /// Asks for a change's outcome, at gateway after gateway, until it is told
  /// or the plan's time for it is over.
  [[nodiscard]] boost::asio::awaitable<change_outcome> Resolve(
    std::string aGroup,
    std::string aKey);

  /// Lets time pass.
  [[nodiscard]] boost::asio::awaitable<void> Sleep(
    std::chrono::microseconds aTime);

  /// Goes over to another gateway, if there are several.
  void SwitchGateway();

  /// Counts the next request's latency from the given moment, at which it
  /// ought to have begun.
  void SetIntendedStart(run_offset aStart);

  [[nodiscard]] run_offset Now() const;
  [[nodiscard]] std::string NewKey();
  /// A random number below the given one.
  [[nodiscard]] std::uint64_t RandomBelow(std::uint64_t aBound);
  [[nodiscard]] const plan& Plan() const noexcept;
  [[nodiscard]] history& History() noexcept;
  [[nodiscard]] progress& Progress() noexcept;

private:
  [[nodiscard]] boost::asio::awaitable<answer> Ask(
    const policy::work_class& aWork,
    http_request aRequest);
  void Record(const policy::work_class& aWork,
              const http_request& aRequest,
              const answer& aAnswer,
              run_offset aSent);

  boost::asio::io_context& mContext;
  const plan& mPlan;
  clock::time_point mOrigin;
  std::mt19937_64 mRandom;
  history& mHistory;
  progress& mProgress;
  std::vector<std::unique_ptr<http_connection>> mConnections;
  std::size_t mGateway = 0;
  std::string mToken = "new";
  std::optional<run_offset> mIntendedStart;
};

} // namespace currantshed::load

#endif

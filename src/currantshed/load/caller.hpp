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

/// Progress counters of a run, shared by its threads.
struct progress
{
  std::atomic<std::uint64_t> activities{ 0 };
  std::atomic<std::uint64_t> answers{ 0 };
  std::atomic<std::uint64_t> acknowledged{ 0 };
  std::atomic<std::uint64_t> notRun{ 0 };
  std::atomic<std::uint64_t> unknown{ 0 };
  std::atomic<bool> stop{ false };
};

/// A caller with one session: it passes its session token from answer to
/// answer, switches between gateways, and records every answer. Not
/// thread-safe.
class caller
{
public:
  caller(boost::asio::io_context& aContext,
         const plan& aPlan,
         clock::time_point aOrigin,
         std::uint64_t aSeed,
         history& aHistory,
         progress& aProgress);

  /// Sends statements of a class. The idempotency key is for writes; empty for
  /// reads.
  [[nodiscard]] boost::asio::awaitable<answer> Send(
    const policy::work_class& aWork,
    std::string aGroup,
    std::vector<sql_statement> aStatements,
    std::string aKey);

  /// Opens a transaction, which will be committed under the key.
  [[nodiscard]] boost::asio::awaitable<answer> Open(
    const policy::work_class& aWork,
    std::string aGroup,
    std::vector<sql_statement> aStatements,
    std::string aKey);

  /// Executes statements in an open transaction.
  [[nodiscard]] boost::asio::awaitable<answer> Continue(
    const policy::work_class& aWork,
    std::string aTransaction,
    std::vector<sql_statement> aStatements);

  /// Commits under the key, or rolls back if the key is empty.
  [[nodiscard]] boost::asio::awaitable<answer> End(
    const policy::work_class& aWork,
    std::string aTransaction,
    std::string aKey);

  /// Queries the outcome of a change, switching gateways, until it is known or
  /// the plan's timeout for it has passed.
  [[nodiscard]] boost::asio::awaitable<change_outcome> Resolve(
    std::string aGroup,
    std::string aKey);

  /// Waits for the given time.
  [[nodiscard]] boost::asio::awaitable<void> Sleep(
    std::chrono::microseconds aTime);

  /// Switches to another gateway, if there are several.
  void SwitchGateway();

  /// Measures the latency of the next request from the given time, at which it
  /// was scheduled to start.
  void SetIntendedStart(run_offset aStart);

  [[nodiscard]] run_offset Now() const;
  [[nodiscard]] std::string NewKey();
  /// A random number below the given bound.
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

#include "currantshed/load/overhead.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <numeric>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "currantshed/clock/time.hpp"
#include "currantshed/load/process_time.hpp"
#include "currantshed/upstream/pq_connection.hpp"

// False positive of GCC 12; see activity.cpp.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace currantshed::load {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::microseconds;

constexpr std::size_t kAnswerLimit = std::size_t{ 1 } << 20U;
constexpr std::chrono::milliseconds kAnswerTimeout{ 5000 };
constexpr double kMicrosPerMilli = 1000.0;
constexpr unsigned kHundred = 100;
constexpr unsigned kMedianPercent = 50;
constexpr unsigned kTailPercent = 99;

/// Results of one thread.
struct tally
{
  std::vector<microseconds> latencies;
  std::uint64_t failures = 0;

  void Add(clock::time_point aSent, bool aGood)
  {
    if (!aGood) {
      ++failures;
      return;
    }
    latencies.push_back(std::chrono::duration_cast<microseconds>(
      std::chrono::steady_clock::now() - aSent));
  }
};

/// A connection to the server that executes the statement repeatedly.
class direct_loop
{
public:
  direct_loop(asio::io_context& aContext,
              const overhead_plan& aPlan,
              clock::time_point aUntil,
              tally& aTally)
    : mConnection(aContext, aPlan.server)
    , mUntil(aUntil)
    , mTally(aTally)
  {
    mStatement.sql = aPlan.statement.sql;
    for (const std::string& parameter : aPlan.statement.parameters) {
      mStatement.parameters.emplace_back(parameter);
    }
  }

  void Start()
  {
    mConnection.Open([this](bool aOpen) {
      if (aOpen) {
        Next();
      } else {
        ++mTally.failures;
      }
    });
  }

private:
  void Next()
  {
    const auto sent = std::chrono::steady_clock::now();
    if (sent >= mUntil) {
      mConnection.Close();
      return;
    }
    mConnection.Run({ mStatement },
                    kAnswerLimit,
                    [this, sent](const upstream::reply& aReply) {
                      const bool good =
                        aReply.end == upstream::batch_end::kComplete;
                      mTally.Add(sent, good);
                      if (good) {
                        Next();
                      } else {
                        mConnection.Close();
                      }
                    });
  }

  upstream::pq_connection mConnection;
  upstream::statement mStatement;
  clock::time_point mUntil;
  tally& mTally;
};

/// A connection to the gateway that executes the statement repeatedly.
asio::awaitable<void>
LoopThrough(asio::io_context& aContext,
            const overhead_plan& aPlan,
            clock::time_point aUntil,
            tally& aTally)
{
  http_connection connection(aContext, aPlan.gateway);
  http_request request;
  request.target = "/v1/statements";
  request.session = "new";
  request.body = MakeBody(aPlan.work, aPlan.group, { aPlan.statement });
  while (true) {
    const auto sent = std::chrono::steady_clock::now();
    if (sent >= aUntil) {
      co_return;
    }
    const http_answer raw =
      co_await connection.Exchange(request, kAnswerTimeout);
    const bool good = raw.end == exchange_result::kAnswered &&
                      ReadAnswer(raw.body).outcome == change_outcome::kDone;
    aTally.Add(sent, good);
  }
}

microseconds
Percentile(const std::vector<microseconds>& aSorted, unsigned aPercent)
{
  if (aSorted.empty()) {
    return microseconds(0);
  }
  const std::size_t rank =
    (aSorted.size() * aPercent + kHundred - 1) / kHundred;
  return aSorted[std::max<std::size_t>(rank, 1) - 1];
}

round_figures
FiguresOf(std::vector<tally>& aTallies, std::chrono::duration<double> aTime)
{
  round_figures figures;
  std::vector<microseconds> all;
  for (const tally& each : aTallies) {
    all.insert(all.end(), each.latencies.begin(), each.latencies.end());
    figures.failures += each.failures;
  }
  std::sort(all.begin(), all.end());
  figures.statements = all.size();
  figures.perSecond = static_cast<double>(all.size()) / aTime.count();
  figures.p50 = Percentile(all, kMedianPercent);
  figures.p99 = Percentile(all, kTailPercent);
  return figures;
}

using thread_body =
  std::function<void(asio::io_context&, clock::time_point, tally&, unsigned)>;

/// Runs one round of the given body on the threads of the plan, each with its
/// share of the connections.
round_figures
RunRound(const overhead_plan& aPlan, const thread_body& aBody)
{
  std::vector<tally> tallies(aPlan.threads);
  std::vector<std::thread> threads;
  const auto before = ProcessorTimeOf(aPlan.processes);
  const auto begin = std::chrono::steady_clock::now();
  const auto until = begin + aPlan.round;
  for (unsigned i = 0; i < aPlan.threads; ++i) {
    const unsigned share = (aPlan.connections + i) / aPlan.threads;
    threads.emplace_back([&tallies, &aBody, until, i, share] {
      asio::io_context context{ 1 };
      aBody(context, until, tallies[i], share);
    });
  }
  for (std::thread& each : threads) {
    each.join();
  }
  const std::chrono::duration<double> time =
    std::chrono::steady_clock::now() - begin;
  round_figures figures = FiguresOf(tallies, time);
  if (figures.statements > 0) {
    figures.processorTime = (ProcessorTimeOf(aPlan.processes) - before) /
                            static_cast<std::int64_t>(figures.statements);
  }
  return figures;
}

json::object
JsonOf(const round_figures& aFigures)
{
  return {
    { "statements", aFigures.statements },
    { "failures", aFigures.failures },
    { "statements_per_second", aFigures.perSecond },
    { "p50_ms", static_cast<double>(aFigures.p50.count()) / kMicrosPerMilli },
    { "p99_ms", static_cast<double>(aFigures.p99.count()) / kMicrosPerMilli },
    { "processor_us_per_statement",
      static_cast<double>(aFigures.processorTime.count()) / kMicrosPerMilli },
  };
}

json::object
SideJson(const std::vector<round_figures>& aRounds)
{
  json::array rounds;
  for (const round_figures& round : aRounds) {
    rounds.push_back(JsonOf(round));
  }
  return { { "median", JsonOf(MedianRound(aRounds)) },
           { "rounds", std::move(rounds) } };
}

double
Ratio(double aOne, double aOther)
{
  return aOther > 0 ? aOne / aOther : 0;
}

} // namespace

round_figures
RunDirect(const overhead_plan& aPlan)
{
  return RunRound(aPlan,
                  [&aPlan](asio::io_context& aContext,
                           clock::time_point aUntil,
                           tally& aTally,
                           unsigned aConnections) {
                    std::vector<std::unique_ptr<direct_loop>> loops;
                    for (unsigned i = 0; i < aConnections; ++i) {
                      loops.push_back(std::make_unique<direct_loop>(
                        aContext, aPlan, aUntil, aTally));
                      loops.back()->Start();
                    }
                    aContext.run();
                  });
}

round_figures
RunViaGateway(const overhead_plan& aPlan)
{
  return RunRound(aPlan,
                  [&aPlan](asio::io_context& aContext,
                           clock::time_point aUntil,
                           tally& aTally,
                           unsigned aConnections) {
                    for (unsigned i = 0; i < aConnections; ++i) {
                      asio::co_spawn(
                        aContext,
                        LoopThrough(aContext, aPlan, aUntil, aTally),
                        asio::detached);
                    }
                    aContext.run();
                  });
}

round_figures
MedianRound(std::vector<round_figures> aRounds)
{
  if (aRounds.empty()) {
    return {};
  }
  const auto middle =
    aRounds.begin() + static_cast<std::ptrdiff_t>(aRounds.size() / 2);
  std::nth_element(aRounds.begin(),
                   middle,
                   aRounds.end(),
                   [](const auto& aOne, const auto& aOther) {
                     return aOne.perSecond < aOther.perSecond;
                   });
  return *middle;
}

std::string
OverheadJson(const std::vector<round_figures>& aDirect,
             const std::vector<round_figures>& aViaGateway,
             unsigned aConnections)
{
  const round_figures direct = MedianRound(aDirect);
  const round_figures viaGateway = MedianRound(aViaGateway);
  const auto added = static_cast<double>((viaGateway.p50 - direct.p50).count());
  return json::serialize(json::object{
    { "connections", aConnections },
    { "direct", SideJson(aDirect) },
    { "through", SideJson(aViaGateway) },
    { "throughput_ratio", Ratio(viaGateway.perSecond, direct.perSecond) },
    { "p50_ratio",
      Ratio(static_cast<double>(viaGateway.p50.count()),
            static_cast<double>(direct.p50.count())) },
    { "added_p50_ms", added / kMicrosPerMilli },
  });
}

} // namespace currantshed::load

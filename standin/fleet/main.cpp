#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <string>

#include <absl/strings/numbers.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "currantshed/node/line_stream.hpp"
#include "currantshed/settings/parser.hpp"
#include "standin/fleet/keys.hpp"
#include "standin/fleet/session.hpp"

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace fleet = currantshed::standin::fleet;
using currantshed::node::line_stream;
using tcp = boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr unsigned kServersPerGroup = 3;
constexpr unsigned kMaxConnections = 16;
// How far replicas lag behind the primary.
constexpr milliseconds kReplicationLag{ 20 };
// Duration of a promotion.
constexpr milliseconds kPromotionDuration{ 200 };
constexpr milliseconds kWatchPollInterval{ 5 };
constexpr milliseconds kSnapshotInterval{ 100 };
// Delay after a restore until the operator and the servers rewrite the keys
// that the store has lost.
constexpr milliseconds kRewriteDelay{ 1000 };
// Time of a server's first start in Unix milliseconds; each later start adds
// one.
constexpr std::int64_t kFirstStartMs = 1795000000000;

struct options
{
  std::uint16_t port = 0;
  std::uint16_t serversPort = 0;
  /// First port under which the store lists the servers; zero for serversPort.
  std::uint16_t listedPort = 0;
  unsigned groups = 2;
};

/// Simulates the platform outside the VMs in one process: the store, the
/// database servers and the promotion interface.
class platform_simulator
{
public:
  platform_simulator(boost::asio::io_context& aContext, const options& aOptions)
    : mContext(aContext)
    , mTimer(aContext)
    , mSnapshotTimer(aContext)
  {
    for (unsigned number = 0; number < aOptions.groups; ++number) {
      AddGroup(number, aOptions);
    }
    PublishConfiguration(1);
    AdvanceReplicas();
    TakeSnapshot();
  }

  void Listen(std::uint16_t aPort, std::function<void(tcp::socket)> aTake)
  {
    auto acceptor = std::make_shared<tcp::acceptor>(
      mContext,
      tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), aPort));
    Accept(acceptor, std::move(aTake));
  }

  /// Handles a call; false if it has to wait.
  [[nodiscard]] bool Answer(const http::request<http::string_body>& aCall,
                            fleet::key_answer& aAnswer)
  {
    const std::string target(aCall.target());
    const auto mark = target.find('?');
    const auto path = target.substr(0, mark);
    mQuery = mark == std::string::npos ? "" : target.substr(mark + 1);
    const auto now = std::chrono::steady_clock::now();
    if (mIsUnavailable && path.starts_with("/kv-")) {
      return false;
    }
    mKeys.Expire(now);
    if (path == "/kv-key") {
      aAnswer = mKeys.Get(Parameter("key"));
    } else if (path == "/kv-range") {
      aAnswer = mKeys.Range(Parameter("prefix"));
    } else if (path == "/kv-watch") {
      aAnswer = mKeys.Changes(Parameter("prefix"), Number(Parameter("after")));
      return aAnswer.status != 0;
    } else if (path == "/kv-txn") {
      aAnswer = mKeys.Commit(json::parse(aCall.body()).as_object());
    } else if (path == "/kv-lease") {
      const auto body = json::parse(aCall.body()).as_object();
      aAnswer =
        mKeys.GrantLease(body.at("ttl_ms").to_number<std::int64_t>(), now);
    } else if (path.starts_with("/kv-keep/")) {
      aAnswer = mKeys.KeepAlive(Number(path.substr(9)), now);
    } else if (path.starts_with("/kv-lease-end/")) {
      mKeys.RevokeLease(Number(path.substr(14)));
      aAnswer = {};
    } else if (path == "/promotion") {
      aAnswer = Promote(json::parse(aCall.body()).as_object(),
                        Number(std::string(aCall["Fencing-Token"])));
    } else {
      aAnswer = HandleTestCommand(path);
    }
    return true;
  }

  [[nodiscard]] std::uint64_t Era() const { return mKeys.Era(); }

  /// Whether the store is unavailable and its calls wait.
  [[nodiscard]] bool IsUnavailable() const { return mIsUnavailable; }

  [[nodiscard]] std::uint64_t WaitMs() const
  {
    return Number(Parameter("wait_ms"));
  }

private:
  void AddGroup(unsigned aNumber, const options& aOptions)
  {
    const unsigned first = aNumber * kServersPerGroup;
    const unsigned listed =
      aOptions.listedPort != 0 ? aOptions.listedPort : aOptions.serversPort;
    const auto name = "group-" + std::to_string(aNumber);
    std::vector<fleet::server> servers;
    for (unsigned member = 0; member < kServersPerGroup; ++member) {
      fleet::server one;
      one.id = name + "-" + std::to_string(member);
      one.group = name;
      one.address = "127.0.0.1:" + std::to_string(listed + first + member);
      servers.push_back(one);
    }
    mGroups.emplace_back(name, servers);
    auto& group = mGroups.back();
    unsigned port = aOptions.serversPort + first;
    for (auto& one : group.Servers()) {
      PublishServer(one);
      Listen(static_cast<std::uint16_t>(port++),
             [this, &group, id = one.id](tcp::socket aSocket) {
               Serve(group, id, std::move(aSocket));
             });
    }
  }

  void Accept(const std::shared_ptr<tcp::acceptor>& aAcceptor,
              std::function<void(tcp::socket)> aTake)
  {
    aAcceptor->async_accept(
      [this, aAcceptor, take = std::move(aTake)](
        boost::system::error_code aError, tcp::socket aSocket) {
        if (!aError) {
          take(std::move(aSocket));
          Accept(aAcceptor, take);
        }
      });
  }

  static void Serve(fleet::group& aGroup,
                    const std::string& aServer,
                    tcp::socket aSocket)
  {
    if (!aGroup.Find(aServer)->up) {
      return;
    }
    auto stream = std::make_shared<line_stream>(std::move(aSocket));
    auto session =
      std::make_shared<fleet::session>(aGroup, aServer, kMaxConnections);
    stream->Start({ [stream, session](std::string_view aLine) {
                     const auto answer = session->Answer(aLine);
                     stream->Send(answer);
                     if (answer.empty()) {
                       stream->Close();
                     }
                   },
                    [stream, session] {} });
  }

  void PublishServer(const fleet::server& aServer)
  {
    const json::object entry{
      { "service", aServer.group },
      { "address", aServer.address },
      { "zone", "here" },
      { "version", "v1" },
      { "slots", 8 },
      { "warmup_left_ms", 0 },
      { "state", aServer.draining ? "draining" : "ready" },
      { "target_role", aServer.isPrimary ? "primary" : "replica" },
      { "seq", 1 },
      { "born", kFirstStartMs + static_cast<std::int64_t>(aServer.starts) }
    };
    mKeys.Put("servers/" + aServer.id, json::serialize(entry));
  }

  void PublishConfiguration(std::uint64_t aVersion)
  {
    mVersion = aVersion;
    json::array routes;
    json::array services;
    for (const auto& one : mGroups) {
      services.push_back(json::object{ { "name", one.Name() },
                                       { "max_conns", kMaxConnections } });
      for (const char* type :
           { "primary", "bounded_staleness", "read_your_writes" }) {
        routes.push_back(json::object{ { "name", one.Name() + type },
                                       { "host", one.Name() + "." + type },
                                       { "route_type", type },
                                       { "timeout_ms", 2000 },
                                       { "target_latency_ms", 1000 },
                                       { "max_staleness_ms", 1500 },
                                       { "service", one.Name() } });
      }
    }
    const json::object configuration{
      { "version", aVersion },
      { "routes", std::move(routes) },
      { "services", std::move(services) },
      { "limits", json::object{ { "tx_idle_ms", 3000 } } },
      { "filler", std::string(mFiller, 'x') }
    };
    mKeys.Put("op/config", json::serialize(configuration));
  }

  void AdvanceReplicas()
  {
    for (auto& one : mGroups) {
      one.AdvanceReplicas();
    }
    mTimer.expires_after(kReplicationLag);
    mTimer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        AdvanceReplicas();
      }
    });
  }

  void TakeSnapshot()
  {
    mSnapshotTimer.expires_after(kSnapshotInterval);
    mSnapshotTimer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        mKeys.TakeSnapshot(std::chrono::steady_clock::now());
        TakeSnapshot();
      }
    });
  }

  // Makes the store unavailable for aOutage, then restores it without the
  // writes of the preceding aSpan. Calls that wait meanwhile are executed after
  // the restore.
  void LoseRecentWrites(milliseconds aSpan, milliseconds aOutage)
  {
    mIsUnavailable = true;
    RunAfter(aOutage, [this, aSpan, aOutage] {
      mKeys.Restore(aSpan + aOutage, std::chrono::steady_clock::now());
      mIsUnavailable = false;
      RunAfter(kRewriteDelay, [this] { RewriteKeys(); });
    });
  }

  void RewriteKeys()
  {
    PublishConfiguration(mVersion);
    for (auto& group : mGroups) {
      for (const auto& one : group.Servers()) {
        PublishServer(one);
      }
    }
  }

  void RunAfter(milliseconds aSpan, std::function<void()> aCallback)
  {
    auto timer = std::make_shared<boost::asio::steady_timer>(mContext, aSpan);
    timer->async_wait([timer, callback = std::move(aCallback)](
                        boost::system::error_code aError) {
      if (!aError) {
        callback();
      }
    });
  }

  fleet::key_answer Promote(const json::object& aRequest, std::uint64_t aToken)
  {
    const auto service = json::value_to<std::string>(aRequest.at("service"));
    auto& highest = mHighestTokens[service];
    mLowerTokens += aToken < highest ? 1 : 0;
    highest = std::max(highest, aToken);
    const auto id = json::value_to<std::string>(aRequest.at("id"));
    for (auto& one : mGroups) {
      if (one.Name() != service) {
        continue;
      }
      const auto* server = one.Find(id);
      if (server == nullptr || !server->up) {
        return { 409, {} };
      }
      auto timer = std::make_shared<boost::asio::steady_timer>(
        mContext, kPromotionDuration);
      timer->async_wait([timer, &one, id](boost::system::error_code) {
        (void)one.Promote(id);
      });
      return {};
    }
    return { 404, {} };
  }

  // Writes that many versions of the configuration, one after the other. Ends
  // when a later one has been written meanwhile.
  void WriteVersions(std::uint64_t aFirst,
                     std::uint64_t aCount,
                     milliseconds aGap)
  {
    if (aCount == 0 || aFirst <= mVersion) {
      return;
    }
    PublishConfiguration(aFirst);
    RunAfter(aGap, [this, aFirst, aCount, aGap] {
      WriteVersions(aFirst + 1, aCount - 1, aGap);
    });
  }

  // Executes a test command: sets the version of the configuration, writes many
  // large ones in quick succession, restores
  // the store from an older snapshot, or stops, starts, drains, restarts (with
  // an empty log) or overloads servers. Commands other than /test/primary
  // return the numbers of duplicate changes, of statements answered BUSY and of
  // orders to promote with a lower fencing token than was seen before.
  fleet::key_answer HandleTestCommand(const std::string& aPath)
  {
    if (aPath == "/test/configure") {
      PublishConfiguration(Number(Parameter("version")));
    }
    if (aPath == "/test/storm") {
      mFiller = Number(Parameter("bytes"));
      WriteVersions(Number(Parameter("version")),
                    Number(Parameter("count")),
                    milliseconds{ Number(Parameter("gap_ms")) });
    }
    if (aPath == "/test/lose") {
      LoseRecentWrites(milliseconds{ Number(Parameter("span_ms")) },
                       milliseconds{ Number(Parameter("away_ms")) });
    }
    if (aPath == "/test/primary") {
      const auto primary = FindPrimary(Parameter("group"));
      return { 200, {}, primary.empty() ? " " : primary };
    }
    if (aPath == "/test/shed") {
      Shed(Parameter("server"),
           static_cast<unsigned>(Number(Parameter("percent"))),
           milliseconds{ Number(Parameter("for_ms")) });
    }
    unsigned doubled = 0;
    unsigned shed = 0;
    for (auto& one : mGroups) {
      doubled += one.CountDuplicates();
      if (aPath == "/test/restart") {
        one.Restart(Parameter("server"));
      }
      if (auto* server = one.Find(Parameter("server"))) {
        server->up = aPath != "/test/stop" && server->up;
        server->up = aPath == "/test/start" || server->up;
        server->draining = aPath == "/test/drain" ||
                           (server->draining && aPath != "/test/start");
        PublishServer(*server);
      }
      for (const auto& server : one.Servers()) {
        shed += server.shed;
      }
    }
    return { 200,
             { { "doubled", doubled },
               { "shed", shed },
               { "lower_tokens", mLowerTokens } } };
  }

  // The server answers BUSY to this percentage of statements for a while.
  void Shed(const std::string& aServer, unsigned aPercent, milliseconds aSpan)
  {
    for (auto& one : mGroups) {
      if (auto* server = one.Find(aServer)) {
        server->shedPercent = aPercent;
        RunAfter(aSpan, [server] { server->shedPercent = 0; });
      }
    }
  }

  // The id of the group's current primary, if it is up.
  std::string FindPrimary(const std::string& aGroup)
  {
    for (auto& one : mGroups) {
      for (const auto& server : one.Servers()) {
        if (one.Name() == aGroup && server.up && one.IsPrimary(server)) {
          return server.id;
        }
      }
    }
    return {};
  }

  [[nodiscard]] std::string Parameter(const std::string& aName) const
  {
    const auto all = "&" + mQuery;
    const auto at = all.find("&" + aName + "=");
    if (at == std::string::npos) {
      return {};
    }
    const auto from = at + aName.size() + 2;
    return all.substr(from, all.find('&', from) - from);
  }

  static std::uint64_t Number(const std::string& aText)
  {
    std::uint64_t number = 0;
    (void)absl::SimpleAtoi(aText, &number);
    return number;
  }

  boost::asio::io_context& mContext;
  boost::asio::steady_timer mTimer;
  boost::asio::steady_timer mSnapshotTimer;
  fleet::keys mKeys;
  std::uint64_t mVersion = 0;
  // Size that is added to configurations, in bytes.
  std::size_t mFiller = 0;
  bool mIsUnavailable = false;
  std::list<fleet::group> mGroups;
  // By service, the highest fencing token of an order to promote, and the
  // number of orders with a lower one than was seen before.
  std::map<std::string, std::uint64_t> mHighestTokens;
  unsigned mLowerTokens = 0;
  std::string mQuery;
};

/// One connection to the store or to the promotion interface.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
  http_session(platform_simulator& aPlatform, tcp::socket aSocket)
    : mPlatform(aPlatform)
    , mStream(std::move(aSocket))
    , mTimer(mStream.get_executor())
  {
  }

  void Read()
  {
    mRequest = {};
    http::async_read(mStream,
                     mBuffer,
                     mRequest,
                     [self = shared_from_this()](
                       boost::system::error_code aError, std::size_t) {
                       if (!aError) {
                         self->Begin();
                       }
                     });
  }

private:
  void Begin()
  {
    TryAnswer();
    mDeadline =
      std::chrono::steady_clock::now() + milliseconds{ mPlatform.WaitMs() };
  }

  void TryAnswer()
  {
    fleet::key_answer answer;
    const bool done = mPlatform.Answer(mRequest, answer);
    if (!done && (mPlatform.IsUnavailable() ||
                  mDeadline == std::chrono::steady_clock::time_point{} ||
                  std::chrono::steady_clock::now() < mDeadline)) {
      mTimer.expires_after(kWatchPollInterval);
      mTimer.async_wait([self = shared_from_this()](boost::system::error_code) {
        self->TryAnswer();
      });
      return;
    }
    mDeadline = {};
    mResponse = {};
    mResponse.set("Store-Era", std::to_string(mPlatform.Era()));
    mResponse.result(answer.status == 0 ? 200 : answer.status);
    mResponse.keep_alive(true);
    mResponse.body() =
      answer.text.empty() ? json::serialize(answer.body) : answer.text;
    mResponse.prepare_payload();
    http::async_write(mStream,
                      mResponse,
                      [self = shared_from_this()](
                        boost::system::error_code aError, std::size_t) {
                        if (!aError) {
                          self->Read();
                        }
                      });
  }

  platform_simulator& mPlatform;
  beast::tcp_stream mStream;
  boost::asio::steady_timer mTimer;
  beast::flat_buffer mBuffer;
  http::request<http::string_body> mRequest;
  http::response<http::string_body> mResponse;
  std::chrono::steady_clock::time_point mDeadline{};
};

} // namespace

int
main(int aCount, char** aValues)
{
  options chosen;
  currantshed::settings::parser parser(
    "currantshed-standin-fleet",
    "Simulates the users' platform: its store, its database servers and "
    "its promotion interface, on 127.0.0.1.");
  parser.Port(chosen.port, "port", "Port of the store", true);
  parser.Port(
    chosen.serversPort, "servers-port", "First port of the servers", true);
  parser.Port(chosen.listedPort,
              "listed-port",
              "First port of the servers as the store lists them, if a "
              "proxy is in front of them",
              false);
  parser.Count(chosen.groups, "groups", "Groups of three servers", 1, 8);
  const auto parsed = parser.Parse(aCount, aValues);
  if (parsed.end == currantshed::settings::parse_end::kExit) {
    return parsed.exitCode;
  }
  try {
    boost::asio::io_context context;
    platform_simulator platform(context, chosen);
    platform.Listen(chosen.port, [&platform](tcp::socket aSocket) {
      std::make_shared<http_session>(platform, std::move(aSocket))->Read();
    });
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const auto&, int) { context.stop(); });
    context.run();
  } catch (const std::exception& failure) {
    std::cerr << "currantshed-standin-fleet: " << failure.what() << '\n';
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}

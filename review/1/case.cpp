// A VM that holds the failover lock of a service is cut off from the promotion
// interface while the service's servers are replaced, and is then stopped for a
// planned restart. Another VM takes the lock over and has a server promoted.
// Watches which orders reach the platform afterwards, and what clients are
// told.
#include <set>

#include "../standins/client.hpp"

namespace {

using namespace review;

constexpr unsigned kClients = 6;
// Length of the cut: a machine is partitioned for 5.5 s on the users' sheets.
constexpr milliseconds kDrainsAfter{ 200 };
// A server is replaced each second; the new one starts a second before the old
// one drains.
constexpr milliseconds kGap{ 1000 };
constexpr milliseconds kStopsAfter{ 1800 };
constexpr milliseconds kHealsAfter{ 2000 };
constexpr milliseconds kEndsAfter{ 5000 };

struct order
{
  std::string holder;
  std::uint64_t token = 0;
  std::string server;
};

struct write
{
  std::string answer;
  time_point answeredAt;
  bool isAcknowledged = false;
};

class scenario
{
public:
  explicit scenario(const std::string& aFolder)
    : mFolder(aFolder)
    , mRecord(aFolder + "/record.txt")
    , mBase(FreePorts(60))
    , mStore(mContext, mRecord)
    , mStoreServer(mContext,
                   mBase,
                   [this](const http_request& aRequest, http_reply aReply) {
                     mStore.Handle(aRequest, std::move(aReply));
                   })
    , mService(mContext,
               mRecord,
               mStore,
               "claims",
               static_cast<unsigned short>(mBase + 1))
  {
    PutConfiguration();
    for (unsigned number = 0; number < 3; ++number) {
      const auto promotionPort =
        static_cast<unsigned short>(mBase + 10 + number);
      mInterfaces.push_back(std::make_unique<http_server>(
        mContext,
        promotionPort,
        [this](const http_request& aRequest, const http_reply& aReply) {
          TakeOrder(aRequest, aReply);
        }));
      mVms.push_back(std::make_unique<vm>(
        "vm-" + std::to_string(number + 1),
        static_cast<unsigned short>(mBase + 20 + number * vm::kPorts),
        mBase,
        promotionPort,
        mTemporary));
    }
  }

  int Run()
  {
    // The first VM starts alone, so that it holds the lock.
    StartVm(0);
    Wait(milliseconds{ 1500 });
    StartVm(1);
    StartVm(2);
    Wait(milliseconds{ 1500 });
    for (unsigned number = 0; number < kClients; ++number) {
      Connect(number);
    }
    Wait(milliseconds{ 2000 });
    if (CountAcknowledged() < 20) {
      mRecord.Step("the writes are not served");
      return kCouldNotRun;
    }
    mService.AddServer();
    Wait(kGap - kDrainsAfter);
    if (HasTrouble()) {
      mRecord.Step("vm-1 is cut off from the promotion interface");
      mInterfaces.front()->CutOff();
    }
    Wait(kDrainsAfter);
    mService.AddServer();
    mService.Drain(mService.Server(0));
    Wait(kGap);
    mService.Drain(mService.Server(1));
    Wait(kStopsAfter);
    mRecord.Step("vm-1 gets SIGTERM");
    mVms.front()->Signal(SIGTERM);
    mIsFirstLeaving = true;
    Wait(kHealsAfter);
    if (HasTrouble()) {
      mRecord.Step("vm-1 reaches the promotion interface again");
      mInterfaces.front()->Reconnect();
    }
    Wait(kEndsAfter);
    mIsOver = true;
    Wait(milliseconds{ 2200 });
    const auto result = Judge();
    if (std::getenv("KEEP_LOGS") != nullptr) {
      for (const auto& one : mVms) {
        one->KeepLog(std::getenv("KEEP_LOGS"));
      }
    }
    return result;
  }

private:
  void PutConfiguration()
  {
    const json::object route{
      { "name", "r-claims" }, { "host", "claims-db" },
      { "prefix", "/" },      { "route_type", "primary" },
      { "timeout_ms", 1000 }, { "target_latency_ms", 200 },
      { "priority", 1 },      { "service", "claims" },
      { "attempts", 2 }
    };
    const json::object service{
      { "name", "claims" }, { "health_path", "/health" },
      { "max_conns", 55 },  { "protocol", "h1" },
      { "tls", false },     { "sync_replicas", 0 }
    };
    const json::object configuration{
      { "version", 1 },
      { "routes", json::array{ route } },
      { "services", json::array{ service } },
      { "limits", json::object{ { "tx_idle_ms", 3000 } } }
    };
    mStore.Put("op/config", json::serialize(configuration));
  }

  void StartVm(std::size_t aNumber)
  {
    auto& one = *mVms.at(aNumber);
    one.Start();
    const auto end = clock_type::now() + std::chrono::seconds{ 15 };
    while (!one.IsReady()) {
      if (clock_type::now() > end || one.HasEnded()) {
        mRecord.Step(one.Name() + " does not become ready");
        std::exit(kCouldNotRun);
      }
      Wait(milliseconds{ 50 });
    }
    mRecord.Step(one.Name() + " is ready");
  }

  void Wait(milliseconds aTime) { mContext.run_for(aTime); }

  void TakeOrder(const http_request& aRequest, const http_reply& aReply)
  {
    const auto body = json::parse(aRequest.body).as_object();
    const auto id = json::value_to<std::string>(body.at("id"));
    const order made{ aRequest.headers.at("Duty-Holder"),
                      std::stoull(aRequest.headers.at("Fencing-Token")),
                      id };
    std::string note;
    if (made.token < mHighestToken) {
      ++mStaleOrders;
      note = ", lower than " + std::to_string(mHighestToken) + ", seen before";
    }
    mHighestToken = std::max(mHighestToken, made.token);
    mRecord.Step("POST /promotion by " + made.holder + " for " + id +
                 ", Fencing-Token " + std::to_string(made.token) + note);
    if (mService.Find(id) == nullptr) {
      aReply(409, "{}");
      return;
    }
    mService.Promote(id);
    aReply(200, "{}");
  }

  // The platform forwards new connections to VMs that count as ready; two
  // seconds after the SIGTERM the first one does no longer.
  unsigned short NextPort()
  {
    const auto first = mIsFirstLeaving ? 1U : 0U;
    const auto count = static_cast<unsigned>(mVms.size()) - first;
    return mVms.at(first + mTurn++ % count)->FrontPort();
  }

  void Connect(unsigned aClient)
  {
    if (mIsOver) {
      return;
    }
    auto session = std::make_shared<wire_session>(mContext);
    session->Open(
      NextPort(), "claims-db", [this, aClient, session](const auto& aAnswer) {
        if (aAnswer.empty() || aAnswer.back().starts_with("ERROR")) {
          session->Close();
          Later(milliseconds{ 100 }, [this, aClient] { Connect(aClient); });
        } else {
          Write(aClient, session);
        }
      });
  }

  // Each attempt is another write with an id of its own.
  void Write(unsigned aClient, const std::shared_ptr<wire_session>& aSession)
  {
    if (mIsOver) {
      aSession->Close();
      return;
    }
    const auto id = "w" + std::to_string(++mLastWrite);
    mRecord.Line("client " + std::to_string(aClient) + " sends " + id);
    aSession->Query(
      id,
      "WRITE item" + std::to_string(aClient) + " " + id,
      milliseconds{ 2000 },
      [this, aClient, aSession, id](const wire_answer& aAnswer) {
        auto& made = mWrites[id];
        made.answer = Text(aAnswer);
        made.answeredAt = clock_type::now();
        made.isAcknowledged =
          !aAnswer.empty() && aAnswer.front().starts_with("COMPLETE signed.");
        mRecord.Line("client " + std::to_string(aClient) + " gets for " + id +
                     ": " + made.answer);
        if (aAnswer.empty()) {
          Later(milliseconds{ 50 }, [this, aClient] { Connect(aClient); });
          return;
        }
        Later(made.isAcknowledged ? milliseconds{ 20 } : milliseconds{ 100 },
              [this, aClient, aSession] { Write(aClient, aSession); });
      });
  }

  void Later(milliseconds aTime, std::function<void()> aWhat)
  {
    auto timer = std::make_shared<asio::steady_timer>(mContext, aTime);
    timer->async_wait(
      [timer, what = std::move(aWhat)](beast::error_code) { what(); });
  }

  [[nodiscard]] std::size_t CountAcknowledged() const
  {
    return static_cast<std::size_t>(
      std::count_if(mWrites.begin(), mWrites.end(), [](const auto& aEntry) {
        return aEntry.second.isAcknowledged;
      }));
  }

  int Judge()
  {
    std::size_t late = 0;
    for (const auto& one : mService.Commits()) {
      const auto found = mWrites.find(one.value);
      if (one.afterPromotion && found != mWrites.end() &&
          found->second.isAcknowledged) {
        ++late;
        mRecord.Line("ONE: " + one.value + " was committed at " + one.server +
                     " after another server was promoted, and acknowledged");
      }
    }
    std::set<std::string> kept;
    for (const auto& one : mService.Find(mService.Leader())->log) {
      kept.insert(one.value);
    }
    std::size_t lost = 0;
    for (const auto& [id, one] : mWrites) {
      if (one.isAcknowledged && !kept.contains(id)) {
        ++lost;
        mRecord.Line("acknowledged, and not in the last primary's log: " + id);
      }
    }
    mRecord.Step(
      "writes acknowledged: " + std::to_string(CountAcknowledged()) +
      ", of these not in the last primary's log: " + std::to_string(lost));
    mRecord.Step("orders with a lower token than the platform had seen: " +
                 std::to_string(mStaleOrders));
    mRecord.Step("writes acknowledged that an old primary committed after "
                 "another was promoted: " +
                 std::to_string(late));
    const bool isBroken = mStaleOrders > 0 || late > 0;
    mRecord.Step(isBroken ? "ONE is broken" : "ONE holds");
    return isBroken ? kBroken : kHeld;
  }

  std::string mFolder;
  asio::io_context mContext;
  record mRecord;
  temporary_folder mTemporary;
  unsigned short mBase;
  store mStore;
  http_server mStoreServer;
  db_service mService;
  std::vector<std::unique_ptr<http_server>> mInterfaces;
  std::vector<std::unique_ptr<vm>> mVms;
  std::map<std::string, write> mWrites;
  unsigned mLastWrite = 0;
  unsigned mTurn = 0;
  std::uint64_t mHighestToken = 0;
  std::size_t mStaleOrders = 0;
  bool mIsFirstLeaving = false;
  bool mIsOver = false;
};

} // namespace

int
main(int aCount, char** aValues)
{
  if (aCount != 2) {
    std::fprintf(stderr, "usage: case-1 FOLDER\n");
    return kCouldNotRun;
  }
  try {
    return scenario(aValues[1]).Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "case-1: %s\n", error.what());
    return kCouldNotRun;
  }
}

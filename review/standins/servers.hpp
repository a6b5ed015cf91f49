// Database servers of one service, and the platform's promotion interface, as
// PROTOCOL.md describes them.
#ifndef REVIEW_STANDINS_SERVERS_HPP
#define REVIEW_STANDINS_SERVERS_HPP

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "store.hpp"

namespace review {

// Both as on the users' sheets: replicas 8 ms behind, 1,000 ms a promote.
constexpr milliseconds kReplicationLag{ 8 };
constexpr milliseconds kPromotionTime{ 1000 };
// How long an old primary continues although it can reach the new one.
constexpr milliseconds kOldPrimaryTime{ 1000 };

struct entry
{
  std::uint64_t term = 0;
  std::string value;
};

/// A write as its server ran it.
struct commit
{
  std::string value;
  std::string server;
  std::uint64_t term = 0;
  time_point at;
  /// Whether another server had been promoted before.
  bool afterPromotion = false;
};

struct db_server
{
  std::string id;
  unsigned short port = 0;
  bool isPrimary = false;
  bool isDraining = false;
  /// Receives nothing from the primary.
  bool isDeaf = false;
  /// The term that it leads, or the newest that it has followed.
  std::uint64_t term = 1;
  std::uint64_t heldTerm = 0;
  std::vector<entry> log;
  unsigned connections = 0;
};

/// One primary and two replicas, all in one zone.
class db_service
{
public:
  db_service(asio::io_context& aContext,
             record& aRecord,
             store& aStore,
             std::string aName,
             unsigned short aFirstPort)
    : mContext(aContext)
    , mRecord(aRecord)
    , mStore(aStore)
    , mName(std::move(aName))
    , mFirstPort(aFirstPort)
    , mTimer(aContext)
  {
    for (unsigned number = 0; number < 3; ++number) {
      AddServer();
    }
    Replicate();
  }

  [[nodiscard]] const std::string& Name() const { return mName; }
  [[nodiscard]] db_server& Server(std::size_t aNumber)
  {
    return mServers.at(aNumber);
  }
  [[nodiscard]] const std::vector<commit>& Commits() const { return mCommits; }
  [[nodiscard]] const std::string& Leader() const { return mLeader; }

  /// Whether a commit waits for the receipt of one replica.
  void SetSyncReplicas(unsigned aCount) { mSyncReplicas = aCount; }
  /// Called when a server begins to lead, with its log as promoted.
  void OnLead(std::function<void(const db_server&)> aCallback)
  {
    mOnLead = std::move(aCallback);
  }

  /// The rows that each read returns.
  void SetRows(std::vector<std::string> aRows) { mRows = std::move(aRows); }
  [[nodiscard]] std::size_t Reads() const { return mReads; }

  /// Starts another server; the first one leads. A later one is a replica that
  /// has what the primary has.
  void AddServer()
  {
    const auto number = mServers.size();
    auto& made = mServers.emplace_back();
    made.id = "i-" + mName + "-" + std::to_string(number + 1);
    made.port = static_cast<unsigned short>(mFirstPort + number);
    made.isPrimary = number == 0;
    if (made.isPrimary) {
      mLeader = made.id;
    } else {
      made.log = Find(mLeader)->log;
      made.term = Find(mLeader)->term;
    }
    if (number >= 3) {
      mRecord.Step("server " + made.id + " starts");
    }
    Publish(made);
    Listen(made);
  }

  /// A planned shutdown: the server reports that it is draining. It serves on
  /// for the rest of the case.
  void Drain(db_server& aServer)
  {
    aServer.isDraining = true;
    mRecord.Step("server " + aServer.id + " reports draining");
    Publish(aServer);
  }

  /// Answers POST /promotion for a server that runs.
  void Promote(const std::string& aId)
  {
    if (aId == mLeader && Find(aId)->isPrimary) {
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(mContext, kPromotionTime);
    timer->async_wait([this, timer, aId](beast::error_code) { Lead(aId); });
  }

  [[nodiscard]] db_server* Find(const std::string& aId)
  {
    for (auto& one : mServers) {
      if (one.id == aId) {
        return &one;
      }
    }
    return nullptr;
  }

private:
  class session : public std::enable_shared_from_this<session>
  {
  public:
    session(db_service& aService, db_server& aServer, tcp::socket aSocket)
      : mService(aService)
      , mServer(aServer)
      , mSocket(std::move(aSocket))
    {
      mSocket.set_option(tcp::no_delay(true));
      ++mServer.connections;
    }
    session(const session&) = delete;
    session& operator=(const session&) = delete;
    ~session() { --mServer.connections; }

    void Read()
    {
      asio::async_read_until(mSocket,
                             asio::dynamic_buffer(mIn),
                             "\r\n",
                             [self = shared_from_this()](
                               beast::error_code aError, std::size_t aCount) {
                               if (aError) {
                                 return;
                               }
                               const auto line =
                                 self->mIn.substr(0, aCount - 2);
                               self->mIn.erase(0, aCount);
                               self->Write(self->Answer(line));
                             });
    }

    /// Answers a write that has waited for a receipt.
    void Acknowledge(const std::string& aSignature)
    {
      Write(Complete({}, aSignature));
    }

  private:
    void Write(std::string aText)
    {
      // An empty answer comes later, or never.
      if (aText.empty()) {
        return;
      }
      mOut = std::move(aText);
      asio::async_write(
        mSocket,
        asio::buffer(mOut),
        [self = shared_from_this()](beast::error_code aError, std::size_t) {
          if (!aError) {
            self->Read();
          }
        });
    }

    [[nodiscard]] std::string Position() const
    {
      const auto& log = mServer.log;
      return std::to_string(log.empty() ? 1 : log.back().term) + "." +
             std::to_string(log.size());
    }

    [[nodiscard]] std::string Ready() const
    {
      return "READY I " + Position() + "\r\n";
    }

    [[nodiscard]] std::string Complete(const std::string& aRow,
                                       const std::string& aSignature) const
    {
      return (aRow.empty() ? std::string() : "DATAROW " + aRow + "\r\n") +
             "COMPLETE " + aSignature + "\r\n" + Ready();
    }

    [[nodiscard]] std::string Rows() const
    {
      std::string text;
      for (const auto& row : mService.mRows) {
        text += "DATAROW " + row + "\r\n";
      }
      return text;
    }

    [[nodiscard]] std::string Error(const std::string& aCode) const
    {
      return "ERROR " + aCode + " " + mServer.id + "\r\n" + Ready();
    }

    static std::string Word(std::string& aText)
    {
      const auto end = aText.find(' ');
      const auto word = aText.substr(0, end);
      aText = end == std::string::npos ? std::string() : aText.substr(end + 1);
      return word;
    }

    [[nodiscard]] std::string Answer(std::string aLine)
    {
      const auto kind = Word(aLine);
      if (kind == "START") {
        const auto service = Word(aLine);
        Word(aLine);
        const bool isMeant =
          service == mService.mName && (aLine.empty() || aLine == mServer.id);
        return isMeant ? Ready() : "ERROR MISROUTED " + mServer.id + "\r\n";
      }
      if (kind != "QUERY") {
        return {};
      }
      const auto id = Word(aLine);
      auto word = Word(aLine);
      if (word == "AFTERLSN") {
        const auto position = Word(aLine);
        const auto dot = position.find('.');
        const auto term = std::stoull(position.substr(0, dot));
        const auto number = std::stoull(position.substr(dot + 1));
        const auto& log = mServer.log;
        if (number > log.size() ||
            (number > 0 && log[number - 1].term != term)) {
          return Error("LAGGING");
        }
        word = Word(aLine);
      }
      const auto signature = "signed." + mServer.id + "." + id;
      if (word == "READ") {
        ++mService.mReads;
        return Rows() + Complete({}, signature);
      }
      if (word == "WRITE") {
        if (!mServer.isPrimary) {
          return Error("READONLY");
        }
        mService.Commit(mServer, id);
        if (mService.mSyncReplicas > 0) {
          // Acknowledged once a replica has received it.
          mService.mWaiting.push_back({ mServer.id,
                                        mServer.log.size(),
                                        mServer.term,
                                        shared_from_this(),
                                        signature });
          return {};
        }
        return Complete({}, signature);
      }
      if (word == "STATUS" || word == "PAUSE" || word == "RESUME" ||
          word == "DEMOTE") {
        mService.Control(mServer, word, aLine);
        return Complete(Status(), "-");
      }
      return word == "SET" || word == "RESET" || word == "ROLLBACK"
               ? Complete({}, "-")
               : Error("MALFORMED");
    }

    [[nodiscard]] std::string Status() const
    {
      return std::string(mServer.isPrimary ? "primary " : "replica ") +
             std::to_string(mServer.term) + " " + Position() + " " +
             std::to_string(mServer.heldTerm) + " 0 0 " +
             std::to_string(mServer.connections);
    }

    db_service& mService;
    db_server& mServer;
    tcp::socket mSocket;
    std::string mIn;
    std::string mOut;
  };

  // A write that is acknowledged once a replica has received it.
  struct waiting_write
  {
    std::string server;
    std::size_t position = 0;
    std::uint64_t term = 0;
    std::shared_ptr<session> from;
    std::string signature;
  };

  // Answers the writes that a replica has received meanwhile. Those of a server
  // that no longer leads their term are never answered.
  void AnswerReceived()
  {
    std::erase_if(mWaiting, [this](const waiting_write& aWrite) {
      const auto* at = Find(aWrite.server);
      if (!at->isPrimary || at->term != aWrite.term) {
        return true;
      }
      const bool isReceived =
        std::any_of(mServers.begin(), mServers.end(), [&](const auto& aOne) {
          return !aOne.isPrimary && aOne.log.size() >= aWrite.position &&
                 aOne.log[aWrite.position - 1].value ==
                   at->log[aWrite.position - 1].value;
        });
      if (isReceived) {
        aWrite.from->Acknowledge(aWrite.signature);
      }
      return isReceived;
    });
  }

  void Publish(const db_server& aServer)
  {
    const json::object value{
      { "service", mName },
      { "address", "127.0.0.1:" + std::to_string(aServer.port) },
      { "zone", "here" },
      { "version", "v1" },
      { "slots", 5 },
      { "state", aServer.isDraining ? "draining" : "ready" },
      { "warmup_left_ms", 0 },
      { "target_role", aServer.isPrimary ? "primary" : "replica" },
      { "seq", ++mSeq }
    };
    mStore.Put("servers/" + aServer.id, json::serialize(value));
  }

  void Listen(db_server& aServer)
  {
    auto acceptor = std::make_shared<tcp::acceptor>(
      mContext,
      tcp::endpoint(asio::ip::make_address("127.0.0.1"), aServer.port));
    Accept(acceptor, aServer);
  }

  void Accept(const std::shared_ptr<tcp::acceptor>& aAcceptor,
              db_server& aServer)
  {
    aAcceptor->async_accept([this, aAcceptor, &aServer](
                              beast::error_code aError, tcp::socket aSocket) {
      if (!aError) {
        std::make_shared<session>(*this, aServer, std::move(aSocket))->Read();
      }
      Accept(aAcceptor, aServer);
    });
  }

  void Commit(db_server& aAt, const std::string& aId)
  {
    aAt.log.push_back({ aAt.term, aId });
    const bool isOld = aAt.id != mLeader;
    mCommits.push_back({ aId, aAt.id, aAt.term, clock_type::now(), isOld });
    mRecord.Line(
      "server " + aAt.id + " commits write " + aId + " in term " +
      std::to_string(aAt.term) +
      (isOld ? ", though " + mLeader + " leads term " + std::to_string(mTerm)
             : std::string()));
  }

  void Control(db_server& aAt,
               const std::string& aWord,
               const std::string& aTerm)
  {
    if (aWord == "PAUSE" && !aAt.isPrimary && std::stoull(aTerm) > mTerm) {
      aAt.heldTerm = std::stoull(aTerm);
    } else if (aWord == "RESUME") {
      aAt.heldTerm = 0;
    } else if (aWord == "DEMOTE" && aAt.isPrimary &&
               aAt.term < std::stoull(aTerm)) {
      mRecord.Line("server " + aAt.id + " steps down: DEMOTE " + aTerm);
      StepDown(aAt);
    }
  }

  void StepDown(db_server& aServer)
  {
    aServer.isPrimary = false;
    Publish(aServer);
  }

  // The named server leads the next term with what it has received.
  void Lead(const std::string& aId)
  {
    auto* chosen = Find(aId);
    if (aId == mLeader && chosen->isPrimary) {
      return;
    }
    const auto before = mLeader;
    mLeader = aId;
    ++mTerm;
    chosen->isPrimary = true;
    chosen->term = mTerm;
    mRecord.Step("server " + aId + " leads term " + std::to_string(mTerm) +
                 " from position " + std::to_string(chosen->log.size()) +
                 ", after " + before + " at " +
                 std::to_string(Find(before)->log.size()));
    if (mOnLead) {
      mOnLead(*chosen);
    }
    for (auto& one : mServers) {
      one.heldTerm = 0;
      if (!one.isPrimary) {
        one.term = mTerm;
      }
    }
    Publish(*chosen);
    auto timer =
      std::make_shared<asio::steady_timer>(mContext, kOldPrimaryTime);
    timer->async_wait([this, timer, term = mTerm](beast::error_code) {
      for (auto& one : mServers) {
        if (one.isPrimary && one.term < term) {
          StepDown(one);
        }
      }
    });
  }

  void Replicate()
  {
    const auto* leader = Find(mLeader);
    for (auto& one : mServers) {
      if (!leader->isPrimary || one.isPrimary || one.heldTerm != 0 ||
          one.isDeaf) {
        continue;
      }
      one.term = leader->term;
      // What differs from the leader's log is rolled back.
      std::size_t same = std::min(one.log.size(), leader->log.size());
      while (same > 0 &&
             (one.log[same - 1].term != leader->log[same - 1].term ||
              one.log[same - 1].value != leader->log[same - 1].value)) {
        --same;
      }
      one.log.resize(same);
      one.log.insert(one.log.end(),
                     leader->log.begin() + static_cast<std::ptrdiff_t>(same),
                     leader->log.end());
    }
    AnswerReceived();
    mTimer.expires_after(kReplicationLag);
    mTimer.async_wait([this](beast::error_code aError) {
      if (!aError) {
        Replicate();
      }
    });
  }

  asio::io_context& mContext;
  record& mRecord;
  store& mStore;
  std::string mName;
  unsigned short mFirstPort;
  asio::steady_timer mTimer;
  // A deque, so that sessions may refer to servers while others are added.
  std::deque<db_server> mServers;
  std::string mLeader;
  std::uint64_t mTerm = 1;
  std::uint64_t mSeq = 0;
  std::vector<commit> mCommits;
  unsigned mSyncReplicas = 0;
  std::vector<waiting_write> mWaiting;
  std::function<void(const db_server&)> mOnLead;
  std::vector<std::string> mRows{ "row" };
  std::size_t mReads = 0;
};

} // namespace review

#endif

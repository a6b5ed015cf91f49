#include "currantshed/node/caller_server.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/clock/now.hpp"
#include "currantshed/customer/directory.hpp"
#include "currantshed/log/log.hpp"
#include "currantshed/net/accept_queue.hpp"

namespace currantshed::node {

namespace {

using tcp = boost::asio::ip::tcp;

// Pause after a connection could not be accepted for lack of file descriptors.
constexpr std::chrono::milliseconds kAcceptPause{ 100 };
// How long connections to a VM that has just started wait until the
// configuration is known, which usually takes 20 ms. A refusal would cost each
// caller one of its few retries, and after a loss of power all VMs are equally
// unready. Callers give up after two seconds.
constexpr std::chrono::milliseconds kMaxStartWait{ 1500 };
// How long a session with an unknown key waits for a newer configuration, and
// how many sessions may wait. Callers time out after two seconds.
constexpr std::chrono::milliseconds kMaxKeyWait{ 1500 };
constexpr std::size_t kMaxPendingKeys = 256;
// A connection with more unsent bytes than this is closed.
constexpr std::size_t kMaxUnsentBytes = std::size_t{ 4 } << 20U;

proxy::session_statement
InvalidStatement(std::string aWhy)
{
  proxy::session_statement made;
  made.kind = proxy::statement_kind::kInvalid;
  made.text = std::move(aWhy);
  return made;
}

} // namespace

/// The connection of one caller, or of another VM that relays statements.
class caller_server::connection final
  : public proxy::caller
  , public std::enable_shared_from_this<connection>
{
public:
  connection(caller_server& aServer, std::uint64_t aNumber, tcp::socket aSocket)
    : mServer(aServer)
    , mNumber(aNumber)
    , mStream(std::make_shared<line_stream>(std::move(aSocket),
                                            IsRelay() ? kMaxRelayedBytes
                                                      : kMaxMessageBytes))
  {
  }

  void Start()
  {
    mStream->Start({ [self = shared_from_this()](std::string_view aLine) {
                      self->OnLine(aLine);
                    },
                     [self = shared_from_this()] { self->End(); },
                     [self = shared_from_this()] { self->OnTooLongLine(); } });
  }

  void Deliver(const proxy::answer& aAnswer) override
  {
    std::string out;
    if (mReadsLoad) {
      mServer.mCodec.WriteRelayedAnswer(aAnswer, out);
    } else {
      mServer.mCodec.WriteAnswer(aAnswer, out);
    }
    mStream->Send(out);
    if (mStream->Unsent() > kMaxUnsentBytes) {
      Close();
    }
  }

  [[nodiscard]] bool HasUnread() const override { return mStream->HasUnread(); }

  // The engine may be in the middle of processing an event of this session, so
  // it is removed from the engine later.
  void Close() override
  {
    mStream->CloseWhenSent();
    boost::asio::post(mServer.mContext,
                      [self = shared_from_this()] { self->Detach(); });
  }

  void OnLine(std::string_view aLine)
  {
    if (!mSession && !mStart.database.empty()) {
      // Nothing may be sent before the answer to the session start.
      Refuse(proxy::failure_code::kMalformed, "the session is not open yet");
      return;
    }
    if (!mSession) {
      Open(aLine);
      return;
    }
    auto message = IsRelay() ? mServer.mCodec.ReadRelayed(aLine)
                             : mServer.mCodec.ReadCaller(aLine);
    if (!message || message->ends) {
      End();
      return;
    }
    if (!message->isKnown) {
      Submit(InvalidStatement("no such statement"));
      return;
    }
    mReadsLoad = mReadsLoad || message->asked.attributes.has_value();
    Submit(std::move(message->asked));
  }

  void OnTooLongLine()
  {
    const auto why =
      "a message has at most " + std::to_string(kMaxMessageBytes) + " bytes";
    if (!mSession) {
      Refuse(proxy::failure_code::kMalformed, why);
      return;
    }
    Submit(InvalidStatement(why));
  }

  [[nodiscard]] bool IsRelay() const
  {
    return mServer.mKind == endpoint_kind::kRelays;
  }

  void OpenRelay(std::string_view aLine)
  {
    const auto start = mServer.mCodec.ReadRelayStart(aLine);
    if (start) {
      mSession = mServer.mEngine.OpenRelay(start->server, *this);
    }
    if (!mSession) {
      // The other VM tries another path, or finds out itself that the server is
      // gone.
      Close();
      return;
    }
    std::string out;
    mServer.mCodec.WriteRelayStarted(out);
    mStream->Send(out);
  }

  void Open(std::string_view aLine)
  {
    if (IsRelay()) {
      OpenRelay(aLine);
      return;
    }
    const auto start = mServer.mCodec.ReadStart(aLine);
    if (!start) {
      Refuse(proxy::failure_code::kMalformed, "a session begins otherwise");
      return;
    }
    if (!mServer.mIsConfigured()) {
      Refuse(proxy::failure_code::kBusy, "no configuration yet; retry");
      return;
    }
    mStart = *start;
    mAskedAt = clock::Now();
    Admit();
  }

  // Refuses the session, opens it, or lets it wait for a newer configuration.
  void Admit()
  {
    const auto now = clock::Now();
    switch (
      mServer.mEngine.Admits(mStart.database, mStart.key, mAskedAt, now)) {
      case proxy::session_admission::kGranted:
        OpenSession();
        return;
      case proxy::session_admission::kNoDatabase:
        Refuse(proxy::failure_code::kNoDatabase, mStart.database);
        return;
      case proxy::session_admission::kUnknownKey:
        Refuse(proxy::failure_code::kNotAuthorized,
               "no customer has the key " +
                 customer::KeyFingerprint(mStart.key));
        return;
      case proxy::session_admission::kKeysStale:
        Refuse(proxy::failure_code::kBusy, "keys can't be checked; retry");
        return;
      case proxy::session_admission::kKeyNotYetKnown:
        break;
    }
    if (now >= mAskedAt + kMaxKeyWait ||
        !mServer.HoldSession(shared_from_this())) {
      Refuse(proxy::failure_code::kBusy,
             "the key may be new: " + customer::KeyFingerprint(mStart.key) +
               "; retry");
    }
  }

  [[nodiscard]] clock::time_point AskedAt() const noexcept { return mAskedAt; }
  [[nodiscard]] bool IsDetached() const noexcept { return mIsDetached; }

private:
  void OpenSession()
  {
    mSession =
      mServer.mEngine.Open(mStart.database, *this, std::move(mStart.key));
    if (!mSession) {
      Refuse(proxy::failure_code::kNoDatabase, mStart.database);
      return;
    }
    std::string out;
    mServer.mCodec.WriteStarted(out);
    mStream->Send(out);
  }

  void Submit(proxy::session_statement aStatement)
  {
    mServer.mEngine.Submit(*mSession, std::move(aStatement), clock::Now());
    mServer.mOnEngineEvent();
  }

  void Refuse(proxy::failure_code aCode, std::string aText)
  {
    log::Write(log::level::kInfo, "session_refused", { { "reason", aText } });
    std::string out;
    mServer.mCodec.WriteRefusedStart({ aCode, std::move(aText) }, out);
    mStream->Send(out);
    Close();
  }

  void End()
  {
    mStream->Close();
    Detach();
  }

  void Detach()
  {
    if (mIsDetached) {
      return;
    }
    mIsDetached = true;
    const auto self = shared_from_this();
    if (mSession) {
      mServer.mEngine.Close(*mSession, clock::Now());
      mServer.mOnEngineEvent();
    }
    mServer.OnConnectionClosed(mNumber);
  }

  caller_server& mServer;
  std::uint64_t mNumber;
  std::shared_ptr<line_stream> mStream;
  std::optional<proxy::engine::session_id> mSession;
  // The session start and the time when it was received.
  session_start mStart;
  clock::time_point mAskedAt;
  bool mIsDetached = false;
  // Whether the other end is a VM that sends request attributes, and so reads
  // the server's load in answers.
  bool mReadsLoad = false;
};

caller_server::caller_server(boost::asio::io_context& aContext,
                             endpoint_kind aKind,
                             const line_codec& aCodec,
                             proxy::engine& aEngine,
                             std::size_t aMaxConnections,
                             std::function<bool()> aIsConfigured,
                             std::function<void()> aOnEngineEvent)
  : mContext(aContext)
  , mKind(aKind)
  , mCodec(aCodec)
  , mEngine(aEngine)
  , mMaxConnections(aMaxConnections)
  , mIsConfigured(std::move(aIsConfigured))
  , mOnEngineEvent(std::move(aOnEngineEvent))
  , mAcceptor(aContext)
  , mRetry(aContext)
  , mStartTimer(aContext)
  , mKeyTimer(aContext)
{
}

std::error_code
caller_server::Listen(const std::string& aAddress, std::uint16_t aPort)
{
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(aAddress, error);
  if (error) {
    return error;
  }
  const tcp::endpoint endpoint(address, aPort);
  mAcceptor.open(endpoint.protocol(), error);
  if (!error) {
    mAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    mAcceptor.bind(endpoint, error);
  }
  if (!error) {
    mAcceptor.listen(tcp::acceptor::max_listen_connections, error);
  }
  if (error) {
    return error;
  }
  if (mKind == endpoint_kind::kRelays || mIsConfigured()) {
    StartAccepting();
    return error;
  }
  mStartTimer.expires_after(kMaxStartWait);
  mStartTimer.async_wait([this](boost::system::error_code aStopped) {
    if (!aStopped) {
      StartAccepting();
    }
  });
  return error;
}

void
caller_server::OnConfigured()
{
  mStartTimer.cancel();
  StartAccepting();
}

// Lets a session whose key may be in a newer configuration wait for it. Returns
// false if too many are waiting.
bool
caller_server::HoldSession(const std::shared_ptr<connection>& aCaller)
{
  if (mPendingKeys.size() >= kMaxPendingKeys) {
    return false;
  }
  mPendingKeys.push_back(aCaller);
  mKeyTimer.expires_at(mPendingKeys.front()->AskedAt() + kMaxKeyWait);
  mKeyTimer.async_wait([this](boost::system::error_code aStopped) {
    if (!aStopped) {
      RetryPendingKeys();
    }
  });
  return true;
}

void
caller_server::RetryPendingKeys()
{
  for (const auto& one : std::exchange(mPendingKeys, {})) {
    if (!one->IsDetached()) {
      one->Admit();
    }
  }
}

void
caller_server::StartAccepting()
{
  if (!mIsAccepting && mAcceptor.is_open()) {
    mIsAccepting = true;
    Accept();
  }
}

void
caller_server::StopListening()
{
  net::CloseListener(
    mAcceptor, [this](tcp::socket aSocket) { OnAccepted(std::move(aSocket)); });
}

void
caller_server::Accept()
{
  mAcceptor.async_accept(
    [this](boost::system::error_code aError, tcp::socket aSocket) {
      if (aError == boost::asio::error::operation_aborted) {
        return;
      }
      // A connection that was accepted just before listening ended is served as
      // well.
      if (!aError) {
        OnAccepted(std::move(aSocket));
      }
      if (!mAcceptor.is_open()) {
        return;
      }
      if (aError) {
        log::Write(log::level::kWarning,
                   "accept_failed",
                   { { "reason", aError.message() } });
        mRetry.expires_after(kAcceptPause);
        mRetry.async_wait([this](boost::system::error_code aStopped) {
          if (!aStopped) {
            Accept();
          }
        });
        return;
      }
      Accept();
    });
}

void
caller_server::OnAccepted(tcp::socket aSocket)
{
  if (mConnections.size() >= mMaxConnections) {
    log::Write(log::level::kWarning,
               "session_refused",
               { { "reason", "as many connections as descriptors allow" } });
    return;
  }
  const auto number = ++mLastNumber;
  auto made = std::make_shared<connection>(*this, number, std::move(aSocket));
  mConnections[number] = made;
  made->Start();
}

void
caller_server::OnConnectionClosed(std::uint64_t aNumber)
{
  mConnections.erase(aNumber);
}

} // namespace currantshed::node

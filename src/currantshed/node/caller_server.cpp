#include "currantshed/node/caller_server.hpp"

#include <chrono>
#include <optional>
#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/clock/now.hpp"
#include "currantshed/customer/directory.hpp"
#include "currantshed/log/log.hpp"
#include "currantshed/net/accept_queue.hpp"

namespace currantshed::node {

namespace {

using tcp = boost::asio::ip::tcp;

// Pause after a connection could not be taken, for want of descriptors.
constexpr std::chrono::milliseconds kAcceptPause{ 100 };
// How long callers that connect to a VM which has just started are kept until
// the databases are known, usually for 20 ms. A refusal at once would cost each
// one of its few tries; one that waits for longer is told.
constexpr std::chrono::milliseconds kLongestHold{ 300 };
// How long a caller whose key no customer has waits for word on whether a newer
// configuration has it, and how many may: callers give up after two seconds.
constexpr std::chrono::milliseconds kLongestDoubt{ 1500 };
constexpr std::size_t kMostDoubted = 256;
// A caller that has this much unread is not served further.
constexpr std::size_t kMostUnsent = std::size_t{ 4 } << 20U;

} // namespace

/// One caller's connection.
class caller_server::connection final
  : public proxy::caller
  , public std::enable_shared_from_this<connection>
{
public:
  connection(caller_server& aServer, std::uint64_t aNumber, tcp::socket aSocket)
    : mServer(aServer)
    , mNumber(aNumber)
    , mStream(std::make_shared<line_stream>(std::move(aSocket)))
  {
  }

  void Start()
  {
    mStream->Start({ [self = shared_from_this()](std::string_view aLine) {
                      self->Line(aLine);
                    },
                     [self = shared_from_this()] { self->End(); } });
  }

  void Deliver(const proxy::answer& aAnswer) override
  {
    std::string out;
    mServer.mCodec.WriteAnswer(aAnswer, out);
    mStream->Send(out);
    if (mStream->Unsent() > kMostUnsent) {
      Close();
    }
  }

  [[nodiscard]] bool HasUnread() const override { return mStream->HasUnread(); }

  // The engine may be in the middle of this session's event.
  void Close() override
  {
    mStream->CloseWhenSent();
    boost::asio::post(mServer.mContext,
                      [self = shared_from_this()] { self->Forget(); });
  }

  void Line(std::string_view aLine)
  {
    if (!mSession && !mStart.database.empty()) {
      // Nothing may come before the answer to the opening.
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
      Reject(proxy::failure_code::kMalformed, "no such statement");
      return;
    }
    mServer.mEngine.Submit(*mSession, std::move(message->asked), clock::Now());
    mServer.mAfter();
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
      // The other VM tries another way, or finds the server gone itself.
      Close();
      return;
    }
    std::string out;
    mServer.mCodec.WriteStarted(out);
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
    Enter();
  }

  // Refuses the session, begins it, or leaves it to wait for the next word on
  // the configuration.
  void Enter()
  {
    const auto now = clock::Now();
    switch (
      mServer.mEngine.Admits(mStart.database, mStart.key, mAskedAt, now)) {
      case proxy::session_admission::kGranted:
        Begin();
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
    if (now >= mAskedAt + kLongestDoubt || !mServer.Hold(shared_from_this())) {
      Refuse(proxy::failure_code::kBusy,
             "the key may be new: " + customer::KeyFingerprint(mStart.key) +
               "; retry");
    }
  }

  [[nodiscard]] clock::time_point AskedAt() const noexcept { return mAskedAt; }
  [[nodiscard]] bool IsForgotten() const noexcept { return mIsForgotten; }

private:
  void Begin()
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

  // Answers what is no statement; the session goes on.
  void Reject(proxy::failure_code aCode, std::string aText)
  {
    proxy::answer refused;
    refused.failed = proxy::failure{ aCode, std::move(aText) };
    refused.state = mServer.mEngine.StateOf(*mSession);
    Deliver(refused);
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
    Forget();
  }

  void Forget()
  {
    if (mIsForgotten) {
      return;
    }
    mIsForgotten = true;
    const auto self = shared_from_this();
    if (mSession) {
      mServer.mEngine.Close(*mSession, clock::Now());
      mServer.mAfter();
    }
    mServer.Ended(mNumber);
  }

  caller_server& mServer;
  std::uint64_t mNumber;
  std::shared_ptr<line_stream> mStream;
  std::optional<proxy::engine::session_id> mSession;
  // What the caller asked for, and when.
  session_start mStart;
  clock::time_point mAskedAt;
  bool mIsForgotten = false;
};

caller_server::caller_server(boost::asio::io_context& aContext,
                             endpoint_kind aKind,
                             const line_codec& aCodec,
                             proxy::engine& aEngine,
                             std::size_t aMostConnections,
                             std::function<bool()> aIsConfigured,
                             std::function<void()> aAfter)
  : mContext(aContext)
  , mKind(aKind)
  , mCodec(aCodec)
  , mEngine(aEngine)
  , mMostConnections(aMostConnections)
  , mIsConfigured(std::move(aIsConfigured))
  , mAfter(std::move(aAfter))
  , mAcceptor(aContext)
  , mRetry(aContext)
  , mHold(aContext)
  , mDoubtEnd(aContext)
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
    Begin();
    return error;
  }
  mHold.expires_after(kLongestHold);
  mHold.async_wait([this](boost::system::error_code aStopped) {
    if (!aStopped) {
      Begin();
    }
  });
  return error;
}

void
caller_server::OnConfigured()
{
  mHold.cancel();
  Begin();
}

// Keeps a caller whose key may be in a newer configuration until there is word
// of it. Returns false where too many wait.
bool
caller_server::Hold(const std::shared_ptr<connection>& aCaller)
{
  if (mDoubted.size() >= kMostDoubted) {
    return false;
  }
  mDoubted.push_back(aCaller);
  mDoubtEnd.expires_at(mDoubted.front()->AskedAt() + kLongestDoubt);
  mDoubtEnd.async_wait([this](boost::system::error_code aStopped) {
    if (!aStopped) {
      RetryPendingKeys();
    }
  });
  return true;
}

void
caller_server::RetryPendingKeys()
{
  for (const auto& one : std::exchange(mDoubted, {})) {
    if (!one->IsForgotten()) {
      one->Enter();
    }
  }
}

void
caller_server::Begin()
{
  if (!mHasBegun && mAcceptor.is_open()) {
    mHasBegun = true;
    Accept();
  }
}

void
caller_server::StopListening()
{
  net::CloseListener(
    mAcceptor, [this](tcp::socket aSocket) { Accepted(std::move(aSocket)); });
}

void
caller_server::Accept()
{
  mAcceptor.async_accept(
    [this](boost::system::error_code aError, tcp::socket aSocket) {
      if (aError == boost::asio::error::operation_aborted) {
        return;
      }
      // One that was taken just before listening ended is served as well.
      if (!aError) {
        Accepted(std::move(aSocket));
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
caller_server::Accepted(tcp::socket aSocket)
{
  if (mConnections.size() >= mMostConnections) {
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
caller_server::Ended(std::uint64_t aNumber)
{
  mConnections.erase(aNumber);
}

} // namespace currantshed::node

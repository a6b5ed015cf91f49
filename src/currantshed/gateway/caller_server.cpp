#include "currantshed/gateway/caller_server.hpp"

#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <sys/socket.h>

#include "currantshed/gateway/caller_connection.hpp"
#include "currantshed/net/accept_queue.hpp"

namespace currantshed::gateway {

namespace {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;
using reuse_port =
  boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr std::chrono::milliseconds kTimeoutCheckInterval{ 250 };
/// Delay before accepting again after a failed accept, for example for lack of
/// file descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 100 };
constexpr std::string_view kOverloadedResponse =
  "HTTP/1.1 503 Service Unavailable\r\n"
  "Content-Type: application/json\r\nContent-Length: 65\r\n"
  "Retry-After: 1\r\nConnection: close\r\n\r\n"
  R"({"outcome":"not_run","reason":"overloaded","retry_after_ms":1000})";

} // namespace

class caller_server::implementation final
  : public connection_owner
  , public std::enable_shared_from_this<caller_server::implementation>
{
public:
  implementation(boost::asio::io_context& aContext,
                 const caller_limits& aLimits,
                 request_sink& aSink)
    : mAcceptor(aContext)
    , mTimeoutTimer(aContext)
    , mAcceptRetryTimer(aContext)
    , mLimits(aLimits)
    , mSink(aSink)
  {
  }

  std::error_code Start(const std::string& aAddress, std::uint16_t aPort)
  {
    error_code error;
    Listen(aAddress, aPort, error);
    if (error) {
      return error;
    }
    Accept();
    ScheduleTimeoutCheck();
    return {};
  }

  [[nodiscard]] std::uint16_t Port() const
  {
    return mAcceptor.local_endpoint().port();
  }

  void Answer(const caller_answer& aAnswer)
  {
    const auto found = mPendingRequests.find(aAnswer.number);
    if (found == mPendingRequests.end()) {
      return;
    }
    const auto connection = found->second->shared_from_this();
    mPendingRequests.erase(found);
    connection->Answer(aAnswer);
  }

  void BeginShutdown() { mClosing = true; }

  void StopListening()
  {
    mAcceptRetryTimer.cancel();
    net::CloseListener(mAcceptor, [this](tcp::socket aSocket) {
      AddConnection(std::move(aSocket));
    });
  }

  void CheckTimeouts()
  {
    const auto now = std::chrono::steady_clock::now();
    for (const auto& connection : Connections()) {
      connection->CheckTimeout(now);
    }
  }

  closed_connections CloseIdle()
  {
    closed_connections closed;
    for (const auto& connection : Connections()) {
      if (connection->IsIdle() && !connection->HasUnread()) {
        connection->AddTo(closed);
        connection->Close();
        mConnections.erase(connection.get());
      }
    }
    return closed;
  }

  closed_connections Stop()
  {
    closed_connections closed;
    mIsStopped = true;
    error_code ignored;
    mAcceptor.close(ignored);
    mTimeoutTimer.cancel();
    mAcceptRetryTimer.cancel();
    mPendingRequests.clear();
    for (const auto& connection : Connections()) {
      connection->AddTo(closed);
      connection->Close();
    }
    mConnections.clear();
    return closed;
  }

  [[nodiscard]] std::size_t Count() const { return mConnections.size(); }

  [[nodiscard]] std::size_t Busy() const
  {
    std::size_t busy = 0;
    for (const auto& [key, connection] : mConnections) {
      busy += connection->IsIdle() ? 0 : 1;
    }
    return busy;
  }

  [[nodiscard]] const caller_limits& Limits() const noexcept override
  {
    return mLimits;
  }

  [[nodiscard]] bool IsClosing() const noexcept override { return mClosing; }

  void Submit(caller_connection& aFrom, caller_request aRequest) override
  {
    aRequest.number = ++mLastNumber;
    mPendingRequests[aRequest.number] = &aFrom;
    aFrom.SetPendingRequest(aRequest.number);
    mSink.Submit(std::move(aRequest));
  }

  void Cancel(request_number aRequest) override
  {
    mPendingRequests.erase(aRequest);
    mSink.Cancel(aRequest);
  }

  void CountRefused() override { mSink.CountRefused(); }

  void OnClosed(caller_connection& aConnection) override
  {
    mConnections.erase(&aConnection);
  }

private:
  void Listen(const std::string& aAddress,
              std::uint16_t aPort,
              error_code& aError)
  {
    const auto address = boost::asio::ip::make_address(aAddress, aError);
    if (aError) {
      return;
    }
    const tcp::endpoint endpoint(address, aPort);
    mAcceptor.open(endpoint.protocol(), aError);
    if (!aError) {
      mAcceptor.set_option(tcp::acceptor::reuse_address(true), aError);
    }
    if (!aError) {
      mAcceptor.set_option(reuse_port(true), aError);
    }
    if (!aError) {
      mAcceptor.bind(endpoint, aError);
    }
    if (!aError) {
      mAcceptor.listen(tcp::acceptor::max_listen_connections, aError);
    }
  }

  void Accept()
  {
    mAcceptor.async_accept([self = shared_from_this()](const error_code& aError,
                                                       tcp::socket aSocket) {
      if (self->mIsStopped) {
        return;
      }
      // A connection accepted just before listening ended is served as well.
      if (!aError) {
        self->AddConnection(std::move(aSocket));
      }
      if (!self->mAcceptor.is_open()) {
        return;
      }
      if (aError) {
        self->ScheduleAccept();
        return;
      }
      self->Accept();
    });
  }

  void ScheduleAccept()
  {
    mAcceptRetryTimer.expires_after(kAcceptRetryDelay);
    mAcceptRetryTimer.async_wait(
      [self = shared_from_this()](const error_code& aError) {
        if (!aError) {
          self->Accept();
        }
      });
  }

  void AddConnection(tcp::socket aSocket)
  {
    if (mConnections.size() >= mLimits.connections) {
      error_code ignored;
      aSocket.non_blocking(true, ignored);
      aSocket.write_some(boost::asio::buffer(kOverloadedResponse), ignored);
      mSink.CountRefused();
      return;
    }
    auto made = std::make_shared<caller_connection>(std::move(aSocket), *this);
    mConnections[made.get()] = made;
    made->Start();
  }

  /// Checks the timeouts of all connections in one pass, which costs less than
  /// a timer per connection and is accurate enough.
  void ScheduleTimeoutCheck()
  {
    mTimeoutTimer.expires_after(kTimeoutCheckInterval);
    mTimeoutTimer.async_wait(
      [self = shared_from_this()](const error_code& aError) {
        if (aError) {
          return;
        }
        self->CheckTimeouts();
        self->ScheduleTimeoutCheck();
      });
  }

  [[nodiscard]] std::vector<std::shared_ptr<caller_connection>> Connections()
    const
  {
    std::vector<std::shared_ptr<caller_connection>> all;
    all.reserve(mConnections.size());
    for (const auto& [key, connection] : mConnections) {
      all.push_back(connection);
    }
    return all;
  }

  tcp::acceptor mAcceptor;
  boost::asio::steady_timer mTimeoutTimer;
  boost::asio::steady_timer mAcceptRetryTimer;
  caller_limits mLimits;
  request_sink& mSink;
  absl::flat_hash_map<caller_connection*, std::shared_ptr<caller_connection>>
    mConnections;
  absl::flat_hash_map<request_number, caller_connection*> mPendingRequests;
  request_number mLastNumber = 0;
  bool mClosing = false;
  bool mIsStopped = false;
};

caller_server::caller_server(boost::asio::io_context& aContext,
                             const caller_limits& aLimits,
                             request_sink& aSink)
  : mImplementation(std::make_shared<implementation>(aContext, aLimits, aSink))
{
}

caller_server::~caller_server() = default;

std::error_code
caller_server::Start(const std::string& aAddress, std::uint16_t aPort)
{
  return mImplementation->Start(aAddress, aPort);
}

std::uint16_t
caller_server::Port() const
{
  return mImplementation->Port();
}

void
caller_server::Answer(const caller_answer& aAnswer)
{
  mImplementation->Answer(aAnswer);
}

void
caller_server::BeginShutdown()
{
  mImplementation->BeginShutdown();
}

void
caller_server::StopListening()
{
  mImplementation->StopListening();
}

void
caller_server::CheckTimeouts()
{
  mImplementation->CheckTimeouts();
}

closed_connections
caller_server::CloseIdle()
{
  return mImplementation->CloseIdle();
}

closed_connections
caller_server::Stop()
{
  return mImplementation->Stop();
}

std::size_t
caller_server::Connections() const noexcept
{
  return mImplementation->Count();
}

std::size_t
caller_server::Busy() const noexcept
{
  return mImplementation->Busy();
}

} // namespace currantshed::gateway

#include "currantshed/http/status_server.hpp"

#include <chrono>
#include <list>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "currantshed/log/log.hpp"

namespace currantshed::http {
namespace {

namespace beast = boost::beast;
using tcp = boost::asio::ip::tcp;

constexpr std::chrono::seconds kIdleTimeout{ 30 };
constexpr std::size_t kMaxConnections = 64;
constexpr std::uint32_t kHeaderLimitBytes = 8 * 1024;
constexpr std::uint64_t kBodyLimitBytes = 1024;

/// One connection to the status port.
class connection : public std::enable_shared_from_this<connection>
{
public:
  using closed_callback = std::function<void()>;

  connection(tcp::socket aSocket,
             const prometheus::Registry& aMetrics,
             const status_source& aSource)
    : mStream(std::move(aSocket))
    , mMetrics(aMetrics)
    , mSource(aSource)
  {
  }

  void Start(closed_callback aOnClosed)
  {
    mOnClosed = std::move(aOnClosed);
    Read();
  }

  void Close()
  {
    boost::system::error_code ignored;
    mStream.socket().close(ignored);
  }

private:
  void Read()
  {
    mParser.emplace();
    mParser->header_limit(kHeaderLimitBytes);
    mParser->body_limit(kBodyLimitBytes);
    mStream.expires_after(kIdleTimeout);
    beast::http::async_read(mStream,
                            mBuffer,
                            *mParser,
                            [self = shared_from_this()](
                              boost::system::error_code aError, std::size_t) {
                              if (aError) {
                                self->Finish();
                                return;
                              }
                              self->Answer();
                            });
  }

  void Answer()
  {
    const auto& request = mParser->get();
    const bool isHead = request.method() == beast::http::verb::head;
    const bool isRead = isHead || request.method() == beast::http::verb::get;
    const auto target = request.target();
    auto answer = HandleStatusRequest(
      isRead, { target.data(), target.size() }, mMetrics, mSource);
    mResponse = {};
    mResponse.version(request.version());
    mResponse.keep_alive(request.keep_alive());
    mResponse.result(answer.status);
    mResponse.set(beast::http::field::content_type, answer.contentType);
    mResponse.content_length(answer.body.size());
    if (!isHead) {
      mResponse.body() = std::move(answer.body);
    }
    Write();
  }

  void Write()
  {
    mStream.expires_after(kIdleTimeout);
    beast::http::async_write(mStream,
                             mResponse,
                             [self = shared_from_this()](
                               boost::system::error_code aError, std::size_t) {
                               if (aError || !self->mResponse.keep_alive()) {
                                 self->Finish();
                                 return;
                               }
                               self->Read();
                             });
  }

  void Finish()
  {
    Close();
    mOnClosed();
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  std::optional<beast::http::request_parser<beast::http::string_body>> mParser;
  beast::http::response<beast::http::string_body> mResponse;
  const prometheus::Registry& mMetrics;
  const status_source& mSource;
  closed_callback mOnClosed;
};

void
LogFailure(const boost::system::error_code& aError,
           const std::string& aAddress,
           std::uint16_t aPort)
{
  log::Write(log::level::kError,
             "status_port_failed",
             { { "address", aAddress },
               { "port", std::int64_t{ aPort } },
               { "error", aError.message() } });
}

} // namespace

class status_server::implementation
  : public std::enable_shared_from_this<implementation>
{
public:
  implementation(boost::asio::io_context& aContext,
                 std::string aAddress,
                 std::uint16_t aPort,
                 std::shared_ptr<prometheus::Registry> aMetrics,
                 status_source& aSource)
    : mAcceptor(aContext)
    , mAddress(std::move(aAddress))
    , mPort(aPort)
    , mMetrics(std::move(aMetrics))
    , mSource(aSource)
  {
  }

  std::error_code Start()
  {
    boost::system::error_code error;
    Listen(error);
    if (error) {
      LogFailure(error, mAddress, mPort);
      return error;
    }
    Accept();
    return {};
  }

  void Stop()
  {
    mIsStopped = true;
    boost::system::error_code ignored;
    mAcceptor.close(ignored);
    for (auto& one : mConnections) {
      one->Close();
    }
  }

private:
  void Listen(boost::system::error_code& aError)
  {
    const auto address = boost::asio::ip::make_address(mAddress, aError);
    if (aError) {
      return;
    }
    const tcp::endpoint endpoint(address, mPort);
    mAcceptor.open(endpoint.protocol(), aError);
    if (aError) {
      return;
    }
    mAcceptor.set_option(tcp::acceptor::reuse_address(true), aError);
    if (!aError) {
      mAcceptor.bind(endpoint, aError);
    }
    if (!aError) {
      mAcceptor.listen(tcp::acceptor::max_listen_connections, aError);
    }
  }

  void Accept()
  {
    const bool isFull = mConnections.size() >= kMaxConnections;
    if (mIsStopped || mIsAccepting || isFull) {
      return;
    }
    mIsAccepting = true;
    mAcceptor.async_accept(
      [self = shared_from_this()](boost::system::error_code aError,
                                  tcp::socket aSocket) {
        self->mIsAccepting = false;
        if (!aError && !self->mIsStopped) {
          self->Serve(std::move(aSocket));
        }
        self->Accept();
      });
  }

  void Serve(tcp::socket aSocket)
  {
    const auto iterator = mConnections.insert(
      mConnections.end(),
      std::make_shared<connection>(std::move(aSocket), *mMetrics, mSource));
    (*iterator)->Start([self = shared_from_this(), iterator] {
      self->mConnections.erase(iterator);
      self->Accept();
    });
  }

  tcp::acceptor mAcceptor;
  std::string mAddress;
  std::uint16_t mPort;
  std::shared_ptr<prometheus::Registry> mMetrics;
  status_source& mSource;
  std::list<std::shared_ptr<connection>> mConnections;
  bool mIsAccepting = false;
  bool mIsStopped = false;
};

status_server::status_server(boost::asio::io_context& aContext,
                             const std::string& aAddress,
                             std::uint16_t aPort,
                             std::shared_ptr<prometheus::Registry> aMetrics,
                             status_source& aSource)
  : mImplementation(std::make_shared<implementation>(aContext,
                                                     aAddress,
                                                     aPort,
                                                     std::move(aMetrics),
                                                     aSource))
{
}

status_server::~status_server()
{
  mImplementation->Stop();
}

std::error_code
status_server::Start()
{
  return mImplementation->Start();
}

void
status_server::Stop()
{
  mImplementation->Stop();
}

} // namespace currantshed::http

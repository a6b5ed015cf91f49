#include "currantshed/http/channel.hpp"

#include <deque>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "currantshed/net/tcp_options.hpp"

namespace currantshed::http {

namespace {

namespace beast = boost::beast;
using tcp = boost::asio::ip::tcp;

// A connection attempt that takes longer fails; the next request tries again.
constexpr std::chrono::milliseconds kConnectTimeout{ 600 };

beast::http::verb
VerbOf(method aMethod)
{
  switch (aMethod) {
    case method::kGet:
      return beast::http::verb::get;
    case method::kPost:
      return beast::http::verb::post;
    case method::kDelete:
      return beast::http::verb::delete_;
  }
  return beast::http::verb::get;
}

} // namespace

class channel::implementation
  : public std::enable_shared_from_this<implementation>
{
public:
  implementation(boost::asio::io_context& aContext,
                 std::string aAddress,
                 std::uint16_t aPort)
    : mContext(aContext)
    , mStream(aContext)
    , mAddress(std::move(aAddress))
    , mPort(aPort)
  {
  }

  void Send(call aCall, callback aDone)
  {
    mCalls.push_back({ std::move(aCall), std::move(aDone) });
    if (mCalls.size() == 1) {
      Begin();
    }
  }

  void Reset() { CloseStream(); }

  void Stop()
  {
    mIsStopped = true;
    mCalls.clear();
    CloseStream();
  }

private:
  struct pending_call
  {
    call what;
    callback done;
  };

  void Begin()
  {
    // Detects a persistent connection that the service has closed while idle.
    if (mIsOpen && IsClosedByPeer()) {
      CloseStream();
    }
    if (mIsOpen) {
      Write();
    } else {
      Connect();
    }
  }

  [[nodiscard]] bool IsClosedByPeer()
  {
    boost::system::error_code error;
    mStream.socket().non_blocking(true, error);
    char byte = 0;
    mStream.socket().receive(
      boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != boost::asio::error::would_block;
  }

  void Connect()
  {
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(mAddress, error);
    if (error) {
      Fail(error, call_failure::kNotSent);
      return;
    }
    mStream.expires_after(
      std::min(kConnectTimeout, mCalls.front().what.timeout));
    mStream.async_connect(
      tcp::endpoint(address, mPort),
      [self = shared_from_this()](boost::system::error_code aError) {
        if (self->mIsStopped) {
          return;
        }
        if (aError) {
          self->Fail(aError, call_failure::kNotSent);
          return;
        }
        self->mIsOpen = true;
        net::SetTcpOptions(self->mStream.socket().native_handle());
        self->Write();
      });
  }

  void Write()
  {
    const auto& what = mCalls.front().what;
    auto timeout = what.timeout;
    if (what.timeLeft) {
      timeout = std::min(timeout, what.timeLeft());
    }
    if (timeout <= std::chrono::milliseconds::zero()) {
      Withdraw();
      return;
    }
    mRequest = {};
    mRequest.version(11);
    mRequest.method(VerbOf(what.verb));
    mRequest.target(what.target);
    mRequest.set(beast::http::field::host, mAddress);
    for (const auto& [name, value] : what.headers) {
      mRequest.set(name, value);
    }
    if (!what.body.empty()) {
      mRequest.set(beast::http::field::content_type, "application/json");
      mRequest.body() = what.body;
    }
    mRequest.prepare_payload();
    if (what.timeLeft) {
      SetDropsUnsentBytes(true);
    }
    mStream.expires_after(timeout);
    beast::http::async_write(mStream,
                             mRequest,
                             [self = shared_from_this()](
                               boost::system::error_code aError, std::size_t) {
                               if (self->mIsStopped) {
                                 return;
                               }
                               if (aError) {
                                 self->Fail(aError, call_failure::kNoResponse);
                                 return;
                               }
                               self->Read();
                             });
  }

  void Read()
  {
    mParser.emplace();
    mParser->eager(true);
    mParser->body_limit(mCalls.front().what.maxBodyBytes);
    ReadMore();
  }

  void ReadMore()
  {
    beast::http::async_read_some(
      mStream,
      mBuffer,
      *mParser,
      [self = shared_from_this()](boost::system::error_code aError,
                                  std::size_t) {
        if (!self->mIsStopped) {
          self->OnRead(aError);
        }
      });
  }

  void OnRead(boost::system::error_code aError)
  {
    if (aError) {
      Fail(aError,
           aError == beast::http::error::body_limit ? call_failure::kTooLarge
           : mParser->got_some()                    ? call_failure::kIncomplete
                                 : call_failure::kNoResponse);
      return;
    }
    if (mParser->is_done()) {
      OnResponse();
      return;
    }
    const auto stall = mCalls.front().what.stallTimeout;
    if (stall > std::chrono::milliseconds::zero()) {
      mStream.expires_after(stall);
    }
    ReadMore();
  }

  void OnResponse()
  {
    auto& response = mParser->get();
    call_result result;
    result.status = response.result_int();
    result.body = std::move(response.body());
    if (const auto& name = mCalls.front().what.responseHeader; !name.empty()) {
      result.responseHeader = std::string(response[name]);
    }
    if (!response.keep_alive()) {
      CloseStream();
    } else {
      mStream.expires_never();
      if (mCalls.front().what.timeLeft) {
        SetDropsUnsentBytes(false);
      }
    }
    // Releases the memory of a large response.
    mBuffer = {};
    mParser.reset();
    Finish(std::move(result));
  }

  // The connection stays usable for other requests.
  void Withdraw()
  {
    mStream.expires_never();
    boost::asio::post(mContext, [self = shared_from_this()] {
      if (self->mIsStopped) {
        return;
      }
      call_result result;
      result.error =
        boost::system::error_code(boost::asio::error::operation_aborted);
      result.failure = call_failure::kNotSent;
      self->Finish(std::move(result));
    });
  }

  void Fail(const boost::system::error_code& aError, call_failure aFailure)
  {
    CloseStream();
    mParser.reset();
    call_result result;
    result.error = aError;
    result.failure = aFailure;
    Finish(std::move(result));
  }

  void Finish(call_result aReply)
  {
    auto done = std::move(mCalls.front().done);
    mCalls.pop_front();
    const auto self = shared_from_this();
    // A request issued by the callback on an empty queue starts on its own.
    if (!mCalls.empty()) {
      boost::asio::post(mContext, [self] {
        if (!self->mIsStopped) {
          self->Begin();
        }
      });
    }
    done(std::move(aReply));
  }

  // Without this the operating system goes on delivering a request that was
  // given up, for as long as the path is cut.
  void SetDropsUnsentBytes(bool aDrops)
  {
    boost::system::error_code ignored;
    mStream.socket().set_option(boost::asio::socket_base::linger(aDrops, 0),
                                ignored);
  }

  void CloseStream()
  {
    mIsOpen = false;
    mBuffer = {};
    boost::system::error_code ignored;
    mStream.socket().close(ignored);
  }

  boost::asio::io_context& mContext;
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  std::optional<beast::http::response_parser<beast::http::string_body>> mParser;
  beast::http::request<beast::http::string_body> mRequest;
  std::string mAddress;
  std::uint16_t mPort;
  std::deque<pending_call> mCalls;
  bool mIsOpen = false;
  bool mIsStopped = false;
};

channel::channel(boost::asio::io_context& aContext,
                 std::string aAddress,
                 std::uint16_t aPort)
  : mImplementation(
      std::make_shared<implementation>(aContext, std::move(aAddress), aPort))
{
}

channel::~channel()
{
  mImplementation->Stop();
}

void
channel::Send(call aCall, callback aDone)
{
  mImplementation->Send(std::move(aCall), std::move(aDone));
}

void
channel::Reset()
{
  mImplementation->Reset();
}

} // namespace currantshed::http

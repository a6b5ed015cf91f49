#include "currantshed/store/transport.hpp"

#include <exception>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <curl/curl.h>

#include "currantshed/store/errors.hpp"

namespace currantshed::store {

namespace {

constexpr absl::string_view kIndexHeader = "x-consul-index:";

struct easy_deleter
{
  void operator()(CURL* aEasy) const noexcept { curl_easy_cleanup(aEasy); }
};

struct list_deleter
{
  void operator()(curl_slist* aList) const noexcept
  {
    curl_slist_free_all(aList);
  }
};

using easy_ptr = std::unique_ptr<CURL, easy_deleter>;
using list_ptr = std::unique_ptr<curl_slist, list_deleter>;

/// A request in progress.
struct transfer
{
  easy_ptr easy;
  list_ptr headers;
  std::string url;
  std::string body;
  http_response response;
  bool overLimit = false;
  transport::callback done;
};

/// A socket of libcurl that the event loop watches.
struct watched_socket
{
  explicit watched_socket(boost::asio::io_context& aLoop)
    : descriptor(aLoop)
  {
  }

  boost::asio::posix::stream_descriptor descriptor;
  /// CURL_POLL_IN, CURL_POLL_OUT, CURL_POLL_INOUT or CURL_POLL_REMOVE.
  int interest = CURL_POLL_NONE;
  bool readArmed = false;
  bool writeArmed = false;
};

using socket_ptr = std::shared_ptr<watched_socket>;

/// libcurl requires global initialization once, before its first use.
void
InitializeCurl()
{
  static const CURLcode sResult = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(sResult);
}

/// Maps libcurl's error codes to errc.
std::error_code
FromCurl(CURLcode aCode, bool aOverLimit)
{
  if (aOverLimit) {
    return errc::kTooLarge;
  }
  switch (aCode) {
    case CURLE_OK:
      return {};
    case CURLE_OPERATION_TIMEDOUT:
      return errc::kTimeout;
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_WEIRD_SERVER_REPLY:
      return errc::kMalformed;
    default:
      return errc::kUnreachable;
  }
}

std::size_t
OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto& call = *static_cast<transfer*>(aTransfer);
  const std::size_t length = aSize * aCount;
  if (call.response.body.size() + length > kMaxResponseBytes) {
    call.overLimit = true;
    return 0;
  }
  call.response.body.append(aData, length);
  return length;
}

std::size_t
OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto& call = *static_cast<transfer*>(aTransfer);
  const std::size_t length = aSize * aCount;
  const absl::string_view line(aData, length);
  if (absl::StartsWithIgnoreCase(line, kIndexHeader)) {
    const auto value = line.substr(kIndexHeader.size());
    std::uint64_t index = 0;
    if (absl::SimpleAtoi(absl::StripAsciiWhitespace(value), &index)) {
      call.response.index = index;
    }
  }
  return length;
}

/// Sets the options of a request. A PUT always uses a new connection: on a
/// reused one, libcurl would send the request a second time if the connection
/// closed without a response, and a compare-and-swap that is sent twice reports
/// a conflict with itself.
void
Prepare(transfer& aCall, const http_request& aRequest)
{
  CURL* easy = aCall.easy.get();
  const auto timeout = static_cast<long>(aRequest.timeout.count());
  curl_easy_setopt(easy, CURLOPT_URL, aCall.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &aCall);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aCall);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aCall);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, timeout);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  if (aRequest.method == http_method::kPut) {
    const auto size = static_cast<curl_off_t>(aCall.body.size());
    aCall.headers.reset(curl_slist_append(nullptr, "Expect:"));
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, size);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, aCall.body.data());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, aCall.headers.get());
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
  }
}

/// Drives libcurl's multi interface from the event loop.
class multi_driver : public std::enable_shared_from_this<multi_driver>
{
public:
  multi_driver(boost::asio::io_context& aLoop, std::string aBaseUrl)
    : mLoop(aLoop)
    , mTimer(aLoop)
    , mBaseUrl(std::move(aBaseUrl))
    , mMulti(curl_multi_init())
  {
    curl_multi_setopt(mMulti, CURLMOPT_SOCKETFUNCTION, &OnSocket);
    curl_multi_setopt(mMulti, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(mMulti, CURLMOPT_TIMERFUNCTION, &OnTimer);
    curl_multi_setopt(mMulti, CURLMOPT_TIMERDATA, this);
  }

  multi_driver(const multi_driver&) = delete;
  multi_driver(multi_driver&&) = delete;
  multi_driver& operator=(const multi_driver&) = delete;
  multi_driver& operator=(multi_driver&&) = delete;
  ~multi_driver() = default;

  void Send(const http_request& aRequest, transport::callback aDone)
  {
    auto call = std::make_unique<transfer>();
    call->easy.reset(curl_easy_init());
    call->url = mBaseUrl + aRequest.target;
    call->body = aRequest.body;
    call->done = std::move(aDone);
    Prepare(*call, aRequest);
    CURL* easy = call->easy.get();
    mTransfers.emplace(easy, std::move(call));
    curl_multi_add_handle(mMulti, easy);
  }

  /// Aborts all requests without running their callbacks.
  void Stop()
  {
    mStopped = true;
    mTimer.cancel();
    curl_multi_setopt(mMulti, CURLMOPT_SOCKETFUNCTION, nullptr);
    curl_multi_setopt(mMulti, CURLMOPT_TIMERFUNCTION, nullptr);
    for (auto& [number, socket] : mSockets) {
      Release(*socket);
    }
    mSockets.clear();
    for (auto& [easy, call] : mTransfers) {
      curl_multi_remove_handle(mMulti, easy);
    }
    mTransfers.clear();
    curl_multi_cleanup(mMulti);
  }

private:
  static int OnSocket(CURL* /*aEasy*/,
                      curl_socket_t aSocket,
                      int aInterest,
                      void* aDriver,
                      void* /*aAssigned*/)
  {
    auto& self = *static_cast<multi_driver*>(aDriver);
    return self.Watch(aSocket, aInterest) ? 0 : -1;
  }

  static int OnTimer(CURLM* /*aMulti*/, long aMilliseconds, void* aDriver)
  {
    static_cast<multi_driver*>(aDriver)->SetTimer(aMilliseconds);
    return 0;
  }

  /// Releases the socket to libcurl, which closes it.
  static void Release(watched_socket& aSocket)
  {
    aSocket.interest = CURL_POLL_REMOVE;
    if (aSocket.descriptor.is_open()) {
      aSocket.descriptor.release();
    }
  }

  bool Watch(curl_socket_t aNumber, int aInterest)
  {
    auto& socket = mSockets[aNumber];
    if (aInterest == CURL_POLL_REMOVE) {
      if (socket) {
        Release(*socket);
      }
      mSockets.erase(aNumber);
      return true;
    }
    if (!socket) {
      socket = std::make_shared<watched_socket>(mLoop);
      boost::system::error_code failure;
      socket->descriptor.assign(aNumber, failure);
      if (failure) {
        mSockets.erase(aNumber);
        return false;
      }
    }
    socket->interest = aInterest;
    Arm(aNumber, socket);
    return true;
  }

  void Arm(curl_socket_t aNumber, const socket_ptr& aSocket)
  {
    using descriptor = boost::asio::posix::stream_descriptor;
    const auto interest = static_cast<unsigned>(aSocket->interest);
    if (aSocket->interest == CURL_POLL_REMOVE) {
      return;
    }
    if ((interest & CURL_POLL_IN) != 0 && !aSocket->readArmed) {
      aSocket->readArmed = true;
      aSocket->descriptor.async_wait(
        descriptor::wait_read,
        [weak = weak_from_this(), aNumber, aSocket](const auto& aError) {
          aSocket->readArmed = false;
          OnReady(weak, aNumber, aSocket, CURL_CSELECT_IN, !aError);
        });
    }
    if ((interest & CURL_POLL_OUT) != 0 && !aSocket->writeArmed) {
      aSocket->writeArmed = true;
      aSocket->descriptor.async_wait(
        descriptor::wait_write,
        [weak = weak_from_this(), aNumber, aSocket](const auto& aError) {
          aSocket->writeArmed = false;
          OnReady(weak, aNumber, aSocket, CURL_CSELECT_OUT, !aError);
        });
    }
  }

  static void OnReady(const std::weak_ptr<multi_driver>& aWeak,
                      curl_socket_t aNumber,
                      const socket_ptr& aSocket,
                      int aEvent,
                      bool aReady)
  {
    const auto self = aWeak.lock();
    if (!self || self->mStopped || aSocket->interest == CURL_POLL_REMOVE) {
      return;
    }
    self->Proceed(aNumber, aReady ? aEvent : CURL_CSELECT_ERR);
    if (!self->mStopped) {
      self->Arm(aNumber, aSocket);
    }
  }

  void SetTimer(long aMilliseconds)
  {
    if (aMilliseconds < 0) {
      mTimer.cancel();
      return;
    }
    mTimer.expires_after(std::chrono::milliseconds(aMilliseconds));
    mTimer.async_wait([weak = weak_from_this()](const auto& aError) {
      const auto self = weak.lock();
      if (self && !aError && !self->mStopped) {
        self->Proceed(CURL_SOCKET_TIMEOUT, 0);
      }
    });
  }

  /// Lets libcurl handle an event, then runs the callbacks of completed
  /// requests.
  void Proceed(curl_socket_t aNumber, int aEvents)
  {
    int running = 0;
    curl_multi_socket_action(mMulti, aNumber, aEvents, &running);
    for (auto& call : TakeEnded()) {
      if (mStopped) {
        return;
      }
      call->done(std::move(call->response));
    }
  }

  std::vector<std::unique_ptr<transfer>> TakeEnded()
  {
    std::vector<std::unique_ptr<transfer>> ended;
    int remaining = 0;
    while (const CURLMsg* message = curl_multi_info_read(mMulti, &remaining)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      CURL* easy = message->easy_handle;
      const CURLcode code = message->data.result;
      auto node = mTransfers.extract(easy);
      Finish(*node.mapped(), code);
      curl_multi_remove_handle(mMulti, easy);
      ended.push_back(std::move(node.mapped()));
    }
    return ended;
  }

  static void Finish(transfer& aCall, CURLcode aCode)
  {
    const auto error = FromCurl(aCode, aCall.overLimit);
    if (error) {
      aCall.response = http_response{ error, 0, 0, {} };
      return;
    }
    long status = 0;
    curl_easy_getinfo(aCall.easy.get(), CURLINFO_RESPONSE_CODE, &status);
    aCall.response.status = static_cast<int>(status);
  }

  boost::asio::io_context& mLoop;
  boost::asio::steady_timer mTimer;
  std::string mBaseUrl;
  CURLM* mMulti;
  bool mStopped = false;
  absl::flat_hash_map<curl_socket_t, socket_ptr> mSockets;
  absl::flat_hash_map<CURL*, std::unique_ptr<transfer>> mTransfers;
};

class curl_transport final : public transport
{
public:
  curl_transport(boost::asio::io_context& aLoop, std::string aBaseUrl)
    : mDriver(std::make_shared<multi_driver>(aLoop, std::move(aBaseUrl)))
  {
  }

  curl_transport(const curl_transport&) = delete;
  curl_transport(curl_transport&&) = delete;
  curl_transport& operator=(const curl_transport&) = delete;
  curl_transport& operator=(curl_transport&&) = delete;

  ~curl_transport() override
  {
    try {
      mDriver->Stop();
    } catch (const std::exception&) {
      // A descriptor could not be released; a destructor cannot report that.
      mDriver.reset();
    }
  }

  void Send(http_request aRequest, callback aDone) override
  {
    mDriver->Send(aRequest, std::move(aDone));
  }

private:
  std::shared_ptr<multi_driver> mDriver;
};

} // namespace

std::unique_ptr<transport>
MakeCurlTransport(boost::asio::io_context& aLoop, std::string aBaseUrl)
{
  InitializeCurl();
  return std::make_unique<curl_transport>(aLoop, std::move(aBaseUrl));
}

} // namespace currantshed::store

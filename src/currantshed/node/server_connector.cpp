#include "currantshed/node/server_connector.hpp"

#include <chrono>
#include <deque>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include "currantshed/clock/now.hpp"
#include "currantshed/node/line_stream.hpp"

namespace currantshed::node {

namespace {

using tcp = boost::asio::ip::tcp;

/// The connection itself. Shared with its pending callbacks.
class wire_link : public std::enable_shared_from_this<wire_link>
{
public:
  wire_link(boost::asio::io_context& aContext,
            const line_codec& aCodec,
            proxy::server aServer,
            const proxy::path& aVia,
            std::string aCustomer,
            proxy::link_listener& aListener)
    : mContext(aContext)
    , mCodec(aCodec)
    , mServer(std::move(aServer))
    , mIsDirect(aVia.IsDirect())
    , mCustomer(std::move(aCustomer))
    , mHost(aVia.IsDirect() ? mServer.address : aVia.address)
    , mPort(aVia.IsDirect() ? mServer.port : aVia.port)
    , mListener(&aListener)
    , mStream(std::make_shared<line_stream>(tcp::socket(aContext),
                                            mIsDirect ? kMaxMessageBytes
                                                      : kMaxRelayedBytes))
  {
  }

  void Open()
  {
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(mHost, error);
    if (error) {
      EndLater(proxy::link_close_reason::kUnreachable);
      return;
    }
    mStream->Connect(tcp::endpoint(address, mPort),
                     [self = shared_from_this()](bool aConnected) {
                       self->Connected(aConnected);
                     });
  }

  void Send(const std::vector<proxy::command>& aCommands)
  {
    std::string out;
    for (const auto& one : aCommands) {
      if (mIsDirect) {
        mCodec.WriteCommand(one, out);
      } else {
        WriteRelayed(one, out);
      }
      mKinds.push_back(one.kind);
    }
    mStream->Send(out);
  }

  void Close()
  {
    mListener = nullptr;
    mStream->Close();
  }

private:
  // An older build closes the connection when it reads attributes.
  void WriteRelayed(const proxy::command& aCommand, std::string& aOut) const
  {
    if (mReadsAttributes || !aCommand.attributes) {
      mCodec.WriteRelayed(aCommand, aOut);
      return;
    }
    auto plain = aCommand;
    plain.attributes.reset();
    mCodec.WriteRelayed(plain, aOut);
  }

  void Connected(bool aConnected)
  {
    if (mListener == nullptr) {
      return;
    }
    if (!aConnected) {
      End(proxy::link_close_reason::kUnreachable);
      return;
    }
    mStream->Start({ [self = shared_from_this()](std::string_view aLine) {
                      self->Line(aLine);
                    },
                     [self = shared_from_this()] {
                       self->End(proxy::link_close_reason::kBroken);
                     } });
    std::string out;
    mCodec.WriteServerStart(mServer, mCustomer, out);
    mStream->Send(out);
  }

  void Line(std::string_view aLine)
  {
    if (mListener == nullptr) {
      return;
    }
    auto message = mCodec.ReadServer(aLine);
    if (!message) {
      End(proxy::link_close_reason::kMalformed);
      return;
    }
    std::visit([this](auto& aMessage) { Take(std::move(aMessage)); }, *message);
  }

  void Take(server_row aRow)
  {
    mAnswer.rows.push_back(std::move(aRow.content));
  }

  void Take(server_complete aComplete)
  {
    mAnswer.signature = std::move(aComplete.signature);
  }

  void Take(server_error aError)
  {
    if (!mIsOpen) {
      End(ReasonOf(aError.why.code));
      return;
    }
    mAnswer.failed = std::move(aError.why);
  }

  void Take(server_ready aReady)
  {
    if (!mIsOpen) {
      mIsOpen = true;
      mReadsAttributes = !mIsDirect && aReady.readsAttributes;
      mListener->Opened(aReady.at, clock::Now());
      return;
    }
    mAnswer.state = aReady.state;
    mAnswer.position = aReady.at;
    mAnswer.load = mIsDirect ? std::nullopt : aReady.load;
    ReadReport();
    auto answered = std::exchange(mAnswer, {});
    mListener->Answered(std::move(answered), clock::Now());
  }

  void ReadReport()
  {
    if (mKinds.empty()) {
      return;
    }
    const auto kind = mKinds.front();
    mKinds.pop_front();
    switch (kind) {
      case proxy::command_kind::kReport:
      case proxy::command_kind::kFence:
      case proxy::command_kind::kUnfence:
      case proxy::command_kind::kDemote:
        if (!mAnswer.failed && !mAnswer.rows.empty()) {
          mAnswer.report = mCodec.ReadReport(mAnswer.rows.front());
        }
        break;
      default:
        break;
    }
  }

  static proxy::link_close_reason ReasonOf(proxy::failure_code aCode)
  {
    switch (aCode) {
      case proxy::failure_code::kTooManyConnections:
        return proxy::link_close_reason::kServerFull;
      case proxy::failure_code::kMisrouted:
        return proxy::link_close_reason::kWrongServer;
      default:
        return proxy::link_close_reason::kBroken;
    }
  }

  void EndLater(proxy::link_close_reason aWhy)
  {
    boost::asio::post(mContext,
                      [self = shared_from_this(), aWhy] { self->End(aWhy); });
  }

  void End(proxy::link_close_reason aWhy)
  {
    mStream->Close();
    if (auto* listener = std::exchange(mListener, nullptr)) {
      listener->Ended(aWhy, clock::Now());
    }
  }

  boost::asio::io_context& mContext;
  const line_codec& mCodec;
  proxy::server mServer;
  bool mIsDirect;
  std::string mCustomer;
  std::string mHost;
  std::uint16_t mPort;
  proxy::link_listener* mListener;
  std::shared_ptr<line_stream> mStream;
  // Kinds of the commands without an answer, oldest first.
  std::deque<proxy::command_kind> mKinds;
  proxy::answer mAnswer;
  bool mIsOpen = false;
  // Whether the relay at the other end reads request attributes.
  bool mReadsAttributes = false;
};

/// The engine's handle of a connection; closes it when destroyed.
class owned_link final : public proxy::upstream_link
{
public:
  explicit owned_link(std::shared_ptr<wire_link> aLink)
    : mLink(std::move(aLink))
  {
  }
  owned_link(const owned_link&) = delete;
  owned_link& operator=(const owned_link&) = delete;
  ~owned_link() override { mLink->Close(); }

  void Send(const std::vector<proxy::command>& aCommands) override
  {
    mLink->Send(aCommands);
  }

private:
  std::shared_ptr<wire_link> mLink;
};

} // namespace

server_connector::server_connector(boost::asio::io_context& aContext,
                                   const line_codec& aCodec)
  : mContext(aContext)
  , mCodec(aCodec)
{
}

std::unique_ptr<proxy::upstream_link>
server_connector::Open(const proxy::server& aServer,
                       const proxy::path& aVia,
                       const std::string& aCustomer,
                       proxy::link_listener& aListener)
{
  auto link = std::make_shared<wire_link>(
    mContext, mCodec, aServer, aVia, aCustomer, aListener);
  link->Open();
  return std::make_unique<owned_link>(std::move(link));
}

} // namespace currantshed::node

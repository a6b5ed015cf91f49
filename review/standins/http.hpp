// A small HTTP server on a loopback port.
#ifndef REVIEW_STANDINS_HTTP_HPP
#define REVIEW_STANDINS_HTTP_HPP

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

struct http_request
{
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

using http_reply = std::function<void(unsigned, std::string)>;
using http_handler = std::function<void(const http_request&, http_reply)>;

inline std::string
Unescape(const std::string& aText)
{
  std::string out;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      out.push_back(
        static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      out.push_back(aText[i]);
    }
  }
  return out;
}

/// Serves keep-alive connections. While it is cut off it reads requests,
/// processes none and answers none; what was open then is closed when the cut
/// ends, and its requests stay lost.
class http_server
{
public:
  http_server(asio::io_context& aContext,
              unsigned short aPort,
              http_handler aHandler)
    : mContext(aContext)
    , mAcceptor(aContext,
                tcp::endpoint(asio::ip::make_address("127.0.0.1"), aPort))
    , mHandler(std::move(aHandler))
  {
    Accept();
  }

  void CutOff() { mIsCutOff = true; }

  void Reconnect()
  {
    mIsCutOff = false;
    for (const auto& one : std::set<std::shared_ptr<session>>(mOpen)) {
      one->Close();
    }
  }

private:
  class session : public std::enable_shared_from_this<session>
  {
  public:
    session(http_server& aServer, tcp::socket aSocket)
      : mServer(aServer)
      , mSocket(std::move(aSocket))
    {
      mSocket.set_option(tcp::no_delay(true));
    }

    void Read()
    {
      mParser.emplace();
      mParser->body_limit(std::uint64_t{ 16 } << 20U);
      beast::http::async_read(
        mSocket,
        mBuffer,
        *mParser,
        [self = shared_from_this()](beast::error_code aError, std::size_t) {
          if (aError) {
            self->Close();
            return;
          }
          self->Handle();
        });
    }

    void Close()
    {
      beast::error_code ignored;
      mSocket.close(ignored);
      mServer.mOpen.erase(shared_from_this());
    }

  private:
    void Handle()
    {
      if (mServer.mIsCutOff) {
        Read();
        return;
      }
      const auto& message = mParser->get();
      http_request request;
      request.method = std::string(message.method_string());
      const std::string target(message.target());
      const auto mark = target.find('?');
      request.path = target.substr(0, mark);
      if (mark != std::string::npos) {
        ReadQuery(target.substr(mark + 1), request);
      }
      for (const auto& field : message) {
        request.headers[std::string(field.name_string())] =
          std::string(field.value());
      }
      request.body = message.body();
      mServer.mHandler(
        request,
        [weak = weak_from_this()](unsigned aStatus, std::string aBody) {
          if (auto self = weak.lock()) {
            self->Reply(aStatus, std::move(aBody));
          }
        });
    }

    static void ReadQuery(const std::string& aText, http_request& aOut)
    {
      std::size_t from = 0;
      while (from < aText.size()) {
        const auto end = std::min(aText.find('&', from), aText.size());
        const auto pair = aText.substr(from, end - from);
        const auto equals = std::min(pair.find('='), pair.size() - 1);
        aOut.query[pair.substr(0, equals)] = Unescape(pair.substr(equals + 1));
        from = end + 1;
      }
    }

    void Reply(unsigned aStatus, std::string aBody)
    {
      if (mServer.mIsCutOff) {
        Read();
        return;
      }
      mResponse = {};
      mResponse.version(11);
      mResponse.result(aStatus);
      mResponse.set(beast::http::field::content_type, "application/json");
      mResponse.keep_alive(true);
      mResponse.body() = std::move(aBody);
      mResponse.prepare_payload();
      beast::http::async_write(
        mSocket,
        mResponse,
        [self = shared_from_this()](beast::error_code aError, std::size_t) {
          if (aError) {
            self->Close();
            return;
          }
          self->Read();
        });
    }

    http_server& mServer;
    tcp::socket mSocket;
    beast::flat_buffer mBuffer;
    std::optional<beast::http::request_parser<beast::http::string_body>>
      mParser;
    beast::http::response<beast::http::string_body> mResponse;
  };

  void Accept()
  {
    mAcceptor.async_accept(
      [this](beast::error_code aError, tcp::socket aSocket) {
        if (!aError) {
          auto made = std::make_shared<session>(*this, std::move(aSocket));
          mOpen.insert(made);
          made->Read();
        }
        Accept();
      });
  }

  asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  http_handler mHandler;
  std::set<std::shared_ptr<session>> mOpen;
  bool mIsCutOff = false;
};

} // namespace review

#endif

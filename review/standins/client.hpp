// Clients of the wire protocol.
#ifndef REVIEW_STANDINS_CLIENT_HPP
#define REVIEW_STANDINS_CLIENT_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "deployment.hpp"

namespace review {

/// The answer to one message: its lines, or none if the connection ended or no
/// answer came in time.
using wire_answer = std::vector<std::string>;

/// One session. Each call's callback runs once.
class wire_session : public std::enable_shared_from_this<wire_session>
{
public:
  using callback = std::function<void(const wire_answer&)>;

  explicit wire_session(asio::io_context& aContext)
    : mSocket(aContext)
    , mTimer(aContext)
  {
  }

  /// Connects and sends START.
  void Open(unsigned short aPort, const std::string& aDatabase, callback aDone)
  {
    Expect(milliseconds{ 2000 }, std::move(aDone));
    mSocket.async_connect(
      { asio::ip::make_address("127.0.0.1"), aPort },
      [self = shared_from_this(), aDatabase](beast::error_code aError) {
        if (aError) {
          self->Finish();
          return;
        }
        self->mSocket.set_option(tcp::no_delay(true));
        self->Send("START " + aDatabase + " client\r\n");
      });
  }

  void Query(const std::string& aId,
             const std::string& aText,
             milliseconds aTime,
             callback aDone)
  {
    Expect(aTime, std::move(aDone));
    Send("QUERY " + aId + " " + aText + "\r\n");
  }

  void Close()
  {
    beast::error_code ignored;
    mSocket.close(ignored);
    mTimer.cancel();
  }

private:
  void Expect(milliseconds aTime, callback aDone)
  {
    mLines.clear();
    mDone = std::move(aDone);
    mTimer.expires_after(aTime);
    mTimer.async_wait([self = shared_from_this()](beast::error_code aError) {
      if (!aError) {
        self->Finish();
      }
    });
  }

  void Send(std::string aText)
  {
    mOut = std::move(aText);
    asio::async_write(
      mSocket,
      asio::buffer(mOut),
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        if (aError) {
          self->Finish();
        } else {
          self->Read();
        }
      });
  }

  void Read()
  {
    asio::async_read_until(
      mSocket,
      asio::dynamic_buffer(mIn),
      "\r\n",
      [self = shared_from_this()](beast::error_code aError,
                                  std::size_t aCount) {
        if (aError) {
          self->Finish();
          return;
        }
        self->mLines.push_back(self->mIn.substr(0, aCount - 2));
        self->mIn.erase(0, aCount);
        const auto& line = self->mLines.back();
        const bool isRefusedStart = self->mLines.size() == 1 &&
                                    !self->mIsOpen && line.starts_with("ERROR");
        if (line.starts_with("READY")) {
          self->mIsOpen = true;
        }
        if (line.starts_with("READY") || isRefusedStart) {
          auto done = std::exchange(self->mDone, nullptr);
          self->mTimer.cancel();
          if (done) {
            done(self->mLines);
          }
          return;
        }
        self->Read();
      });
  }

  void Finish()
  {
    Close();
    if (auto done = std::exchange(mDone, nullptr)) {
      done({});
    }
  }

  tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::string mIn;
  std::string mOut;
  wire_answer mLines;
  callback mDone;
  bool mIsOpen = false;
};

/// The lines as one text for the record.
inline std::string
Text(const wire_answer& aAnswer)
{
  std::string text;
  for (const auto& line : aAnswer) {
    text += (text.empty() ? "" : " | ") + line;
  }
  return text.empty() ? "no answer" : text;
}

} // namespace review

#endif

#ifndef CURRANTSHED_STANDIN_UPSTREAM_SESSION_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_SESSION_HPP

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "currantshed/clock/time.hpp"
#include "standin/upstream/delayed_writer.hpp"
#include "standin/upstream/statement_runner.hpp"
#include "standin/upstream/wire.hpp"

namespace currantshed::standin::postgres {

class server;

/// A replica sends this code in its first message, in the place of a caller's
/// protocol version.
inline constexpr std::int32_t kReplicationCode = 0x43530001;

/// One caller's connection: reads PostgreSQL protocol messages, runs them in
/// order, and answers.
class session : public std::enable_shared_from_this<session>
{
public:
  session(server& aServer, boost::asio::ip::tcp::socket aSocket);

  void Start();
  void Close();
  /// Stops reading and answering, as over a cut link.
  void Freeze();
  [[nodiscard]] bool IsFrozen() const noexcept;
  /// Closes the connection if a transaction is open and no request has arrived
  /// since the given time.
  void CloseIfIdle(clock::time_point aSince);
  /// The application_name, which holds the caller's VM.
  [[nodiscard]] const std::string& Vm() const noexcept;

private:
  /// A queued step: a statement to run, or the end of an implicit transaction.
  struct step
  {
    bool sync = false;
    bool describe = false;
    statement work;
  };

  void Read();
  void Discard(boost::system::error_code aError);
  void Process();
  [[nodiscard]] bool TakeMessage();
  void TakeStartup(std::string_view aBody);
  void TakeParameters(message_reader& aReader);
  void Admit();
  void Welcome();
  void Handle(const message& aMessage);
  void HandleParse(message_reader& aReader);
  void HandleBind(message_reader& aReader);
  void HandleDescribe(message_reader& aReader);
  void HandleClose(message_reader& aReader);
  void HandleQuery(message_reader& aReader);
  void RunStep();
  void RunSync();
  void Refuse(const sql_error& aError);
  void Resume();
  void Flush();
  void Reject(const sql_error& aError);
  /// Finds a prepared statement by name; null if there is none.
  [[nodiscard]] const std::string* FindStatement(std::string_view aName);

  static constexpr std::size_t kReadSize = std::size_t{ 64 } << 10U;

  server& mServer;
  boost::asio::ip::tcp::socket mSocket;
  delayed_writer mWriter;
  boost::asio::steady_timer mTimer;
  statement_runner mRunner;
  std::string mVm;
  std::array<char, kReadSize> mChunk{};
  std::string mInput;
  std::size_t mTaken = 0;
  std::string mOutput;
  std::deque<step> mSteps;
  absl::flat_hash_map<std::string, std::string> mStatements;
  statement mPortal;
  clock::time_point mLastMessage;
  bool mStarted = false;
  bool mAdmitted = false;
  bool mWaiting = false;
  bool mSkipping = false;
  bool mPeerGone = false;
  bool mFrozen = false;
  bool mClosed = false;
  bool mReading = false;
};

} // namespace currantshed::standin::postgres

#endif

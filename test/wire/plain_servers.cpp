#include "test/wire/plain_servers.hpp"

#include <map>
#include <string_view>
#include <thread>

#include <sys/socket.h>

#include "test/wire/plain_connection.hpp"

namespace currantshed::test::wire {

namespace {

constexpr unsigned kServersPerGroup = 3;
constexpr std::string_view kPosition = "1.0";

/// One connection of a VM to a server.
class server_session
{
public:
  server_session(plain_servers& aServers, bool aIsPrimary, int aSocket)
    : mServers(aServers)
    , mIsPrimary(aIsPrimary)
    , mConnection(aSocket, static_cast<unsigned>(aSocket))
  {
  }

  void Run()
  {
    std::string line;
    bool isOpen =
      mConnection.ReadLine(line) && line.starts_with("START ") && SendReady();
    while (isOpen && mConnection.ReadLine(line)) {
      std::string_view rest = line;
      isOpen = TakeWord(rest) == "QUERY" && Handle(TakeWord(rest), rest);
    }
  }

private:
  [[nodiscard]] bool SendReady()
  {
    return mConnection.SendLine(std::string("READY ") + mState + " " +
                                std::string(kPosition));
  }

  [[nodiscard]] bool Complete(const std::string& aSignature)
  {
    return mConnection.SendLine("COMPLETE " + aSignature) && SendReady();
  }

  [[nodiscard]] bool Fail(const std::string& aWhy)
  {
    return mConnection.SendLine("ERROR " + aWhy) && SendReady();
  }

  [[nodiscard]] bool Handle(const std::string& aId, std::string_view aText)
  {
    if (aText.starts_with("AFTERLSN ")) {
      TakeWord(aText);
      TakeWord(aText);
    }
    std::string_view rest = aText;
    const auto verb = TakeWord(rest);
    if (aId != "-") {
      return HandleStatement(aId, verb, aText, rest);
    }
    if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" ||
        verb == "DEMOTE") {
      return mConnection.SendLine(std::string("DATAROW ") +
                                  (mIsPrimary ? "primary" : "replica") + " 1 " +
                                  std::string(kPosition) + " 0 0 0 1") &&
             Complete("-");
    }
    if (verb == "SET") {
      mServers.RecordVm(std::string(aText));
    } else if (verb == "PREPARE") {
      TakeWord(rest);
      mServers.RecordVm("PREPARE " + std::string(rest));
    } else if (verb == "BEGIN") {
      mState = "T";
    } else if (verb == "ROLLBACK") {
      mState = "I";
    }
    return Complete("-");
  }

  [[nodiscard]] bool HandleStatement(const std::string& aId,
                                     const std::string& aVerb,
                                     std::string_view aText,
                                     std::string_view aRest)
  {
    if (aVerb == "EXECUTE") {
      // VMs choose the names of prepared statements.
      const auto name = TakeWord(aRest);
      mServers.RecordCaller(
        aId, "EXECUTE" + std::string(aText.substr(8 + name.size())));
    } else {
      mServers.RecordCaller(aId, std::string(aText));
    }
    if (aVerb == "COMMIT") {
      mState = "I";
    }
    if (aVerb == "READ" && aRest.starts_with("fail")) {
      return Fail("FAILED " + std::string(aRest));
    }
    if (aVerb == "READ" &&
        !mConnection.SendLine("DATAROW " + std::string(aRest))) {
      return false;
    }
    return Complete("signed-" + aId);
  }

  plain_servers& mServers;
  bool mIsPrimary;
  plain_connection mConnection;
  const char* mState = "I";
};

} // namespace

bool
plain_servers::Start(std::uint16_t aFirstPort, unsigned aCount)
{
  for (unsigned number = 0; number < aCount; ++number) {
    const int listener =
      Listen(static_cast<std::uint16_t>(aFirstPort + number));
    if (listener < 0) {
      return false;
    }
    const bool isPrimary = number % kServersPerGroup == 0;
    std::thread([this, listener, isPrimary] {
      for (int one = ::accept(listener, nullptr, nullptr); one >= 0;
           one = ::accept(listener, nullptr, nullptr)) {
        std::thread([this, one, isPrimary] {
          server_session(*this, isPrimary, one).Run();
        }).detach();
      }
    }).detach();
  }
  return true;
}

server_log
plain_servers::Log() const
{
  const std::lock_guard lock(mMutex);
  return mLog;
}

void
plain_servers::RecordCaller(const std::string& aId, std::string aText)
{
  const std::lock_guard lock(mMutex);
  mLog.byCallers[aId].push_back(std::move(aText));
}

void
plain_servers::RecordVm(std::string aText)
{
  const std::lock_guard lock(mMutex);
  mLog.byVms.insert(std::move(aText));
}

} // namespace currantshed::test::wire

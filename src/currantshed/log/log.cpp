#include "currantshed/log/log.hpp"

#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <memory>

#include <boost/json.hpp>
#include <easylogging++.h>

#include "currantshed/clock/print_time.hpp"
#include "currantshed/log/utf8.hpp"

// The one place where the storage of easylogging++ is defined.
INITIALIZE_EASYLOGGINGPP; // NOLINT

namespace currantshed::log {
namespace {

constexpr const char* kLoggerName = "currantshed";

/// Writes each message as one line of the standard error stream.
class stderr_writer : public el::LogDispatchCallback
{
protected:
  void handle(const el::LogDispatchData* aData) override // NOLINT
  {
    const std::string line = aData->logMessage()->message() + "\n";
    std::fwrite(line.data(), 1, line.size(), stderr);
  }
};

el::Logger*
MakeLogger()
{
  el::Helpers::uninstallLogDispatchCallback<
    el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<stderr_writer>("stderr_writer");
  return el::Loggers::getLogger(kLoggerName);
}

el::Logger&
TheLogger()
{
  static el::Logger* const sLogger = MakeLogger();
  return *sLogger;
}

/// What Start set.
struct state
{
  identity self;
  std::atomic<level> lowest{ level::kInfo };
};

state&
TheState()
{
  static state sState;
  return sState;
}

std::string_view
NameOf(level aLevel)
{
  switch (aLevel) {
    case level::kDebug:
      return "debug";
    case level::kInfo:
      return "info";
    case level::kWarning:
      return "warning";
    case level::kError:
      return "error";
  }
  return "error";
}

struct to_json
{
  boost::json::value operator()(const std::string& aText) const
  {
    return boost::json::string(ToValidUtf8(aText));
  }
  boost::json::value operator()(std::int64_t aNumber) const { return aNumber; }
  boost::json::value operator()(double aNumber) const
  {
    if (!std::isfinite(aNumber)) {
      return nullptr;
    }
    return aNumber;
  }
  boost::json::value operator()(bool aTruth) const { return aTruth; }
};

} // namespace

void
Start(const identity& aSelf, level aLowest)
{
  TheState().self = aSelf;
  TheState().lowest = aLowest;
  TheLogger();
}

std::string
FormatLine(clock::wall_time aNow,
           const identity& aSelf,
           level aLevel,
           std::string_view aEvent,
           std::initializer_list<field> aFields)
{
  boost::json::object line;
  line["time"] = clock::PrintTimeMs(aNow);
  line["level"] = NameOf(aLevel);
  line["event"] = ToValidUtf8(aEvent);
  line["program"] = ToValidUtf8(aSelf.program);
  line["vm"] = ToValidUtf8(aSelf.vm);
  line["failure_domain"] = ToValidUtf8(aSelf.failureDomain);
  for (const auto& one : aFields) {
    line.emplace(ToValidUtf8(one.name), std::visit(to_json{}, one.content));
  }
  return boost::json::serialize(line);
}

void
Write(level aLevel,
      std::string_view aEvent,
      std::initializer_list<field> aFields)
{
  if (aLevel < TheState().lowest.load(std::memory_order_relaxed)) {
    return;
  }
  const std::string line = FormatLine(
    std::chrono::system_clock::now(), TheState().self, aLevel, aEvent, aFields);
  switch (aLevel) {
    case level::kDebug:
    case level::kInfo:
      TheLogger().info(line);
      break;
    case level::kWarning:
      TheLogger().warn(line);
      break;
    case level::kError:
      TheLogger().error(line);
      break;
  }
}

} // namespace currantshed::log

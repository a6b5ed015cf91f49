#include "currantshed/log/log.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <memory>

#include <poll.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <easylogging++.h>

#include "currantshed/clock/print_time.hpp"
#include "currantshed/log/line_rate_limiter.hpp"
#include "currantshed/log/utf8.hpp"

// The storage of easylogging++ must be defined exactly once per program.
INITIALIZE_EASYLOGGINGPP; // NOLINT

namespace currantshed::log {
namespace {

constexpr const char* kLoggerName = "currantshed";

// Sustained rate and burst of log lines per process. A higher rate would take
// CPU time from requests on a small VM.
constexpr double kLinesPerSecond = 100;
constexpr double kLineBurst = 400;
// A longer text of a field is cut. Texts of callers may have up to 1 MiB.
constexpr std::size_t kMaxTextBytes = 512;

bool
CanWrite(int aDescriptor)
{
  pollfd request{ aDescriptor, POLLOUT, 0 };
  return poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

/// Writes each message as one line and never blocks on a slow reader. The
/// logger serializes the calls.
class line_writer : public el::LogDispatchCallback
{
public:
  /// Switches from standard error to rate-limited standard output.
  void UseOutput() { mIsOutput = true; }

protected:
  void handle(const el::LogDispatchData* aData) override // NOLINT
  {
    const std::string line = aData->logMessage()->message() + "\n";
    if (!mIsOutput) {
      std::fwrite(line.data(), 1, line.size(), stderr);
      return;
    }
    const auto level = aData->logMessage()->level();
    const bool isHighPriority =
      level == el::Level::Warning || level == el::Level::Error;
    if (!mRateLimiter.TryAcquire(isHighPriority,
                                 std::chrono::steady_clock::now())) {
      return;
    }
    if (!CanWrite(STDOUT_FILENO)) {
      mRateLimiter.CountDropped();
      return;
    }
    Put(line);
    ReportDropped();
  }

private:
  static void Put(const std::string& aLine)
  {
    // A write to a closed pipe cannot be reported anywhere.
    (void)!write(STDOUT_FILENO, aLine.data(), aLine.size());
  }

  void ReportDropped()
  {
    const auto dropped = mRateLimiter.TakeDropped();
    if (dropped > 0 && CanWrite(STDOUT_FILENO)) {
      Put("{\"event\":\"lines_left_out\",\"count\":" + std::to_string(dropped) +
          "}\n");
    }
  }

  std::atomic<bool> mIsOutput{ false };
  line_rate_limiter mRateLimiter{ kLinesPerSecond, kLineBurst };
};

constexpr const char* kWriterName = "line_writer";

el::Logger*
MakeLogger()
{
  el::Helpers::uninstallLogDispatchCallback<
    el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<line_writer>(kWriterName);
  return el::Loggers::getLogger(kLoggerName);
}

el::Logger&
GetLogger()
{
  static el::Logger* const sLogger = MakeLogger();
  return *sLogger;
}

/// Configuration set by Start.
struct state
{
  identity self;
  std::atomic<level> minLevel{ level::kInfo };
};

state&
GetState()
{
  static state sState;
  return sState;
}

std::string_view
ToString(level aLevel)
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
    return boost::json::string(
      ToValidUtf8(std::string_view(aText).substr(0, kMaxTextBytes)));
  }
  boost::json::value operator()(std::int64_t aNumber) const { return aNumber; }
  boost::json::value operator()(double aNumber) const
  {
    if (!std::isfinite(aNumber)) {
      return nullptr;
    }
    return aNumber;
  }
  boost::json::value operator()(bool aValue) const { return aValue; }
  boost::json::value operator()(unknown /*aUnknown*/) const { return nullptr; }
};

boost::json::object
FixedFields(clock::wall_time aNow,
            const identity& aIdentity,
            level aLevel,
            std::string_view aEvent)
{
  boost::json::object line;
  line["time"] = clock::PrintTimeMs(aNow);
  line["level"] = ToString(aLevel);
  line["event"] = ToValidUtf8(aEvent);
  line["program"] = ToValidUtf8(aIdentity.program);
  line["vm"] = ToValidUtf8(aIdentity.vm);
  line["failure_domain"] = ToValidUtf8(aIdentity.failureDomain);
  return line;
}

} // namespace

void
Start(const identity& aIdentity, level aMinLevel)
{
  GetState().self = aIdentity;
  GetState().minLevel = aMinLevel;
  GetLogger();
  el::Helpers::logDispatchCallback<line_writer>(kWriterName)->UseOutput();
}

bool
IsLevelEnabled(level aLevel)
{
  return aLevel >= GetState().minLevel.load(std::memory_order_relaxed);
}

std::string
FormatLine(clock::wall_time aNow,
           const identity& aIdentity,
           level aLevel,
           std::string_view aEvent,
           absl::Span<const field> aFields)
{
  auto line = FixedFields(aNow, aIdentity, aLevel, aEvent);
  for (const auto& one : aFields) {
    if (!std::holds_alternative<unknown>(one.content)) {
      line.emplace(ToValidUtf8(one.name), std::visit(to_json{}, one.content));
    }
  }
  auto text = boost::json::serialize(line);
  if (text.size() < kMaxLineBytes) {
    return text;
  }
  line = FixedFields(aNow, aIdentity, aLevel, aEvent);
  line["fields_left_out"] = aFields.size();
  return boost::json::serialize(line);
}

void
Write(level aLevel,
      std::string_view aEvent,
      std::initializer_list<field> aFields)
{
  if (!IsLevelEnabled(aLevel)) {
    return;
  }
  const std::string line = FormatLine(std::chrono::system_clock::now(),
                                      GetState().self,
                                      aLevel,
                                      aEvent,
                                      { aFields.begin(), aFields.size() });
  switch (aLevel) {
    case level::kDebug:
    case level::kInfo:
      GetLogger().info(line);
      break;
    case level::kWarning:
      GetLogger().warn(line);
      break;
    case level::kError:
      GetLogger().error(line);
      break;
  }
}

} // namespace currantshed::log

// Clients of currantshed on 127.0.0.1 that drive one scenario against the
// stand-in platform "town", and judge it by what they sent, what they were
// answered and what the servers ran. Exits with 1 if the rule was broken, with
// 0 if it held, and with 2 if the scenario could not run.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/json/src.hpp>

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

const steady::time_point gStart = steady::now();

std::int64_t
SinceStart()
{
  return std::chrono::duration_cast<milliseconds>(steady::now() - gStart)
    .count();
}

// Milliseconds of the steady clock, which all processes of a machine share.
std::int64_t
SteadyMs()
{
  return std::chrono::duration_cast<milliseconds>(
           steady::now().time_since_epoch())
    .count();
}

std::string
Visible(std::string_view aText)
{
  std::string out;
  for (const char one : aText) {
    if (one == '\n') {
      out += "\\n";
    } else if (one == '\r') {
      out += "\\r";
    } else {
      out.push_back(one);
    }
  }
  return out;
}

class record
{
public:
  explicit record(const std::string& aPath)
    : mFile(aPath)
  {
  }

  void Note(const std::string& aLine)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mFile << SinceStart() << " ms " << aLine << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

/// A TCP connection with a time limit for each read.
class connection
{
public:
  explicit connection(std::uint16_t aPort, milliseconds aLimit)
  {
    mSocket = ::socket(AF_INET, SOCK_STREAM, 0);
    timeval limit{};
    limit.tv_sec = aLimit.count() / 1000;
    limit.tv_usec = (aLimit.count() % 1000) * 1000;
    ::setsockopt(mSocket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    const int on = 1;
    ::setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(aPort);
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(mSocket, reinterpret_cast<sockaddr*>(&where), sizeof(where)) !=
        0) {
      Close();
    }
  }
  ~connection() { Close(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  [[nodiscard]] bool IsOpen() const { return mSocket >= 0; }

  bool Send(const std::string& aText)
  {
    std::size_t sent = 0;
    while (IsOpen() && sent < aText.size()) {
      const auto count = ::send(
        mSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        Close();
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return IsOpen();
  }

  bool Fill()
  {
    char chunk[8192];
    const auto count = IsOpen() ? ::recv(mSocket, chunk, sizeof(chunk), 0) : 0;
    if (count <= 0) {
      Close();
      return false;
    }
    mIn.append(chunk, static_cast<std::size_t>(count));
    return true;
  }

  // The next line without its CR LF; empty if none came.
  std::optional<std::string> Line()
  {
    for (;;) {
      const auto end = mIn.find("\r\n");
      if (end != std::string::npos) {
        auto line = mIn.substr(0, end);
        mIn.erase(0, end + 2);
        return line;
      }
      if (!Fill()) {
        return std::nullopt;
      }
    }
  }

  // So many bytes, or fewer if the connection ends.
  std::string Bytes(std::size_t aCount)
  {
    while (mIn.size() < aCount && Fill()) {
    }
    return mIn.substr(0, aCount);
  }

  void Close()
  {
    if (mSocket >= 0) {
      ::close(mSocket);
    }
    mSocket = -1;
  }

private:
  int mSocket = -1;
  std::string mIn;
};

struct answer
{
  // COMPLETE with its signature, ERROR with its code, or "lost".
  std::string what = "lost";
  std::vector<std::string> rows;
  std::string state;

  [[nodiscard]] bool IsDone() const { return what.starts_with("COMPLETE "); }
};

answer
Ask(connection& aOn, const std::string& aId, const std::string& aText)
{
  answer made;
  if (!aOn.Send("QUERY " + aId + " " + aText + "\r\n")) {
    return made;
  }
  std::string what;
  for (;;) {
    const auto line = aOn.Line();
    if (!line) {
      made.rows.clear();
      return made;
    }
    if (line->starts_with("DATAROW ")) {
      made.rows.push_back(line->substr(8));
    } else if (line->starts_with("READY ")) {
      made.what = what;
      made.state = line->substr(6, 1);
      return made;
    } else {
      what = *line;
    }
  }
}

bool
Start(connection& aOn, const std::string& aDatabase)
{
  if (!aOn.Send("START " + aDatabase + " u1\r\n")) {
    return false;
  }
  const auto line = aOn.Line();
  return line && line->starts_with("READY ");
}

struct http_answer
{
  unsigned status = 0;
  std::string body;
};

http_answer
Get(std::uint16_t aPort, const std::string& aTarget)
{
  connection on(aPort, milliseconds{ 3000 });
  http_answer made;
  if (!on.Send("GET " + aTarget +
               " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n")) {
    return made;
  }
  std::size_t length = 0;
  auto line = on.Line();
  if (!line || line->size() < 12) {
    return made;
  }
  const auto status =
    static_cast<unsigned>(std::strtoul(line->substr(9, 3).c_str(), nullptr, 10));
  while ((line = on.Line()) && !line->empty()) {
    std::string lower = *line;
    std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
    if (lower.starts_with("content-length:")) {
      length = std::strtoul(lower.c_str() + 15, nullptr, 10);
    }
  }
  if (!line) {
    return made;
  }
  made.status = status;
  made.body = on.Bytes(length);
  return made;
}

struct options
{
  std::vector<std::uint16_t> vms;
  std::vector<std::uint16_t> ready;
  std::uint16_t town = 0;
  bool trouble = true;
  std::string record;
};

json::value
Tell(const options& aOptions, const std::string& aTarget)
{
  const auto made = Get(aOptions.town, aTarget);
  return made.status == 200 && !made.body.empty() ? json::parse(made.body)
                                                  : json::value();
}

bool
AwaitReady(const options& aOptions)
{
  const auto end = steady::now() + milliseconds{ 20000 };
  while (steady::now() < end) {
    const bool all = std::all_of(
      aOptions.ready.begin(), aOptions.ready.end(), [](std::uint16_t aPort) {
        return Get(aPort, "/readiness").status == 200;
      });
    if (all) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds{ 100 });
  }
  return false;
}

std::string
NewId()
{
  static std::atomic<std::uint64_t> sNext{ 0x5c0e7a2100000000ULL };
  std::ostringstream text;
  text << std::hex << ++sNext;
  return text.str();
}

// ----------------------------------------------------------------- multiline

// Clients that write texts of several lines, as people type them into a form:
// the lines within a text are separated by a line feed. The second half of the
// texts quotes a line of the protocol.
int
Multiline(const options& aOptions, record& aRecord)
{
  // What was sent, by id: the texts exactly as sent.
  std::map<std::string, std::set<std::string>> sent;
  const std::string separator = aOptions.trouble ? "\n" : " ";
  unsigned done = 0;
  for (unsigned number = 0; number < 40; ++number) {
    connection on(aOptions.vms[number % aOptions.vms.size()],
                  milliseconds{ 3000 });
    if (!Start(on, "db-primary")) {
      return kNotRun;
    }
    const auto id = NewId();
    const auto item = "item" + std::to_string(number);
    std::string text = "WRITE " + item + " stolen at the station" + separator;
    if (number % 2 == 0) {
      text += "frame number " + std::to_string(7000 + number);
    } else {
      text += "QUERY " + id + "f00d WRITE other" + std::to_string(number) +
              " nobody sent this";
    }
    sent[id].insert(text);
    aRecord.Note("sent id=" + id + " text=" + Visible(text));
    const auto made = Ask(on, id, text);
    aRecord.Note("answered id=" + id + " with=" + made.what);
    done += made.IsDone() ? 1 : 0;
    std::this_thread::sleep_for(milliseconds{ 50 });
  }
  std::this_thread::sleep_for(milliseconds{ 500 });
  unsigned unasked = 0;
  unsigned altered = 0;
  unsigned runs = 0;
  const auto answer = Tell(aOptions, "/test/runs");
  for (const auto& one : answer.at("runs").as_array()) {
    const auto id = json::value_to<std::string>(one.at("id"));
    const auto text = json::value_to<std::string>(one.at("text"));
    if (id == "-") {
      continue;
    }
    ++runs;
    const auto found = sent.find(id);
    if (found == sent.end()) {
      ++unasked;
      aRecord.Note("run, but sent by no client: id=" + id +
                   " text=" + Visible(text));
    } else if (!found->second.contains(text)) {
      ++altered;
      aRecord.Note("run with changed text: id=" + id +
                   " text=" + Visible(text));
    }
  }
  aRecord.Note("sent=" + std::to_string(sent.size()) +
               " answered=" + std::to_string(done) +
               " runs=" + std::to_string(runs) + " unasked=" +
               std::to_string(unasked) + " altered=" + std::to_string(altered));
  if (unasked + altered > 0) {
    return kBroken;
  }
  // Without any run nothing was shown, unless the texts were refused.
  return runs == 0 && !aOptions.trouble ? kNotRun : kHeld;
}

// ------------------------------------------------- a database that is moved

// The operator writes configurations, the last of which moves a database to
// another service. Clients read and write there at every VM, and are judged by
// which service ran what they sent later than aApply after the acknowledgement.
int
Move(const options& aOptions,
     record& aRecord,
     const std::string& aChange,
     milliseconds aApply,
     milliseconds aFor)
{
  struct attempt
  {
    std::int64_t sentAt = 0;
    std::uint16_t vm = 0;
    bool isDone = false;
  };
  std::map<std::string, attempt> attempts;
  aRecord.Note("the operator moves db-moved: " + aChange);
  Tell(aOptions, aChange);
  const auto end = steady::now() + aFor;
  for (unsigned step = 0; steady::now() < end; ++step) {
    for (const auto port : aOptions.vms) {
      connection on(port, milliseconds{ 3000 });
      if (!Start(on, "db-moved")) {
        continue;
      }
      const auto id = NewId();
      const auto text = step % 2 == 0 ? "WRITE item1 v" + std::to_string(step)
                                      : std::string("READ item1");
      attempts[id] = { SteadyMs(), port, false };
      const auto made = Ask(on, id, text);
      attempts[id].isDone = made.IsDone();
      aRecord.Note("sent to " + std::to_string(port) + " id=" + id +
                   " text=" + text + " answered " + made.what);
    }
    std::this_thread::sleep_for(milliseconds{ 100 });
  }
  const auto acknowledged =
    Tell(aOptions, "/test/accepted").at("at_ms").to_number<std::int64_t>();
  unsigned reads = 0;
  unsigned writes = 0;
  unsigned atNew = 0;
  std::map<std::uint16_t, std::int64_t> last;
  const auto answer = Tell(aOptions, "/test/runs");
  for (const auto& one : answer.at("runs").as_array()) {
    const auto found = attempts.find(json::value_to<std::string>(one.at("id")));
    if (found == attempts.end()) {
      continue;
    }
    const auto after = found->second.sentAt - acknowledged;
    if (after <= aApply.count()) {
      continue;
    }
    if (json::value_to<std::string>(one.at("service")) == "claims2") {
      ++atNew;
      continue;
    }
    const bool isWrite =
      json::value_to<std::string>(one.at("text")).starts_with("WRITE");
    reads += isWrite ? 0 : 1;
    writes += isWrite && found->second.isDone ? 1 : 0;
    last[found->second.vm] = std::max(last[found->second.vm], after);
  }
  for (const auto& [port, at] : last) {
    aRecord.Note("last run by the old service for " + std::to_string(port) +
                 ": sent " + std::to_string(at) +
                 " ms after the acknowledgement");
  }
  aRecord.Note("sent later than config_apply_ms: run by the old service " +
               std::to_string(reads) + " reads and " + std::to_string(writes) +
               " acknowledged writes, by the new one " + std::to_string(atNew));
  if (reads + writes > 0) {
    return kBroken;
  }
  return atNew > 0 ? kHeld : kNotRun;
}

// A storm of configurations of some 420,000 bytes each.
int
Storm(const options& aOptions, record& aRecord)
{
  std::this_thread::sleep_for(milliseconds{ 4000 });
  return Move(aOptions,
              aRecord,
              std::string("/test/storm?gap_ms=60&bytes=420000&count=") +
                (aOptions.trouble ? "25" : "1"),
              milliseconds{ 5000 },
              milliseconds{ 28000 });
}

// Open connections to the store go silent for good while new ones work: those
// on which nothing has moved for so long. The configuration changes a little
// later than stable_window_ms.
int
Silence(const options& aOptions, record& aRecord, const std::string& aIdleMs)
{
  constexpr milliseconds kStableWindow{ 4000 };
  const auto sleep = [](milliseconds aTime) {
    std::this_thread::sleep_for(aTime);
  };
  sleep(milliseconds{ 4000 });
  Tell(aOptions, "/test/configure?version=2");
  sleep(milliseconds{ 2000 });
  if (aOptions.trouble) {
    aRecord.Note("disruption: connections to the store go silent");
    Tell(aOptions, "/test/silence?idle_ms=" + aIdleMs);
  }
  sleep(kStableWindow + milliseconds{ 200 });
  return Move(aOptions,
              aRecord,
              "/test/storm?gap_ms=60&bytes=0&count=1",
              milliseconds{ 3000 },
              milliseconds{ 10000 });
}

// ---------------------------------------------------------------------- main

// The first of that many free ports in a row.
int
PrintPorts(unsigned aCount)
{
  std::mt19937 random(std::random_device{}());
  for (unsigned attempt = 0; attempt < 200; ++attempt) {
    const unsigned first = 20000 + random() % 10000;
    std::vector<int> held;
    bool isFree = true;
    for (unsigned port = first; isFree && port < first + aCount; ++port) {
      const int one = ::socket(AF_INET, SOCK_STREAM, 0);
      held.push_back(one);
      sockaddr_in where{};
      where.sin_family = AF_INET;
      where.sin_port = htons(static_cast<std::uint16_t>(port));
      where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      isFree = ::bind(one, reinterpret_cast<sockaddr*>(&where), sizeof(where)) == 0;
    }
    for (const int one : held) {
      ::close(one);
    }
    if (isFree) {
      std::cout << first << '\n';
      return kHeld;
    }
  }
  return kNotRun;
}

std::vector<std::uint16_t>
ReadPorts(const std::string& aText)
{
  std::vector<std::uint16_t> ports;
  std::istringstream text(aText);
  std::string one;
  while (std::getline(text, one, ',')) {
    ports.push_back(static_cast<std::uint16_t>(std::atoi(one.c_str())));
  }
  return ports;
}

} // namespace

int
main(int aCount, char** aValues)
{
  const std::string scenario = aCount > 1 ? aValues[1] : "";
  if (scenario == "ports" && aCount > 2) {
    return PrintPorts(static_cast<unsigned>(std::atoi(aValues[2])));
  }
  options chosen;
  for (int i = 2; i + 1 < aCount; i += 2) {
    const std::string name = aValues[i];
    const std::string value = aValues[i + 1];
    if (name == "--vms") {
      chosen.vms = ReadPorts(value);
    } else if (name == "--ready") {
      chosen.ready = ReadPorts(value);
    } else if (name == "--town") {
      chosen.town = ReadPorts(value).at(0);
    } else if (name == "--trouble") {
      chosen.trouble = value != "0";
    } else if (name == "--record") {
      chosen.record = value;
    }
  }
  record log(chosen.record);
  try {
    if (!AwaitReady(chosen)) {
      std::cerr << "visitors: the VMs are not ready\n";
      return kNotRun;
    }
    log.Note("all VMs are ready");
    if (scenario == "storm") {
      return Storm(chosen, log);
    }
    if (scenario == "silence" || scenario == "silence-idle") {
      return Silence(chosen, log, scenario == "silence" ? "0" : "1500");
    }
    if (scenario == "multiline") {
      return Multiline(chosen, log);
    }
  } catch (const std::exception& error) {
    std::cerr << "visitors: " << error.what() << '\n';
  }
  return kNotRun;
}

// The VMs of a small deployment: the program of deploy/system.toml, one process
// a VM, on loopback ports.
#ifndef REVIEW_STANDINS_DEPLOYMENT_HPP
#define REVIEW_STANDINS_DEPLOYMENT_HPP

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include "servers.hpp"

namespace review {

/// The first of a number of ports that are free now.
inline unsigned short
FreePorts(unsigned aCount)
{
  asio::io_context context;
  const auto offset = static_cast<unsigned>(::getpid()) * 97U % 12000U;
  for (unsigned base = 18000 + offset; base < 32000; base += aCount) {
    bool areFree = true;
    for (unsigned port = base; areFree && port < base + aCount; ++port) {
      beast::error_code error;
      tcp::acceptor probe(context);
      probe.open(tcp::v4(), error);
      probe.bind({ asio::ip::make_address("127.0.0.1"),
                   static_cast<unsigned short>(port) },
                 error);
      areFree = !error;
    }
    if (areFree) {
      return static_cast<unsigned short>(base);
    }
  }
  std::fprintf(stderr, "no free ports\n");
  std::exit(kCouldNotRun);
}

/// A folder below TMPDIR that is removed at the end.
class temporary_folder
{
public:
  temporary_folder()
  {
    const char* parent = std::getenv("TMPDIR");
    mPath = std::string(parent == nullptr ? "/tmp" : parent) + "/reviewXXXXXX";
    if (::mkdtemp(mPath.data()) == nullptr) {
      std::perror("mkdtemp");
      std::exit(kCouldNotRun);
    }
  }
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;
  ~temporary_folder()
  {
    for (const auto& file : mFiles) {
      ::unlink(file.c_str());
    }
    ::rmdir(mPath.c_str());
  }

  [[nodiscard]] std::string File(const std::string& aName)
  {
    mFiles.push_back(mPath + "/" + aName);
    return mFiles.back();
  }

private:
  std::string mPath;
  std::vector<std::string> mFiles;
};

/// What differs between the cases; the values are those of the small sheets.
struct vm_settings
{
  double linkMegabits = 1000;
  milliseconds configurationBound{ 3000 };
};

/// One VM's process.
class vm
{
public:
  // A VM takes this many ports.
  static constexpr unsigned short kPorts = 10;

  vm(std::string aName,
     unsigned short aFirstPort,
     unsigned short aStorePort,
     unsigned short aPromotionPort,
     temporary_folder& aFolder,
     const vm_settings& aSettings = {})
    : mName(std::move(aName))
    , mFirstPort(aFirstPort)
    , mSettings(aFolder.File(mName + ".json"))
    , mLog(aFolder.File(mName + ".log"))
  {
    const auto at = [](unsigned aPort) {
      return "127.0.0.1:" + std::to_string(aPort);
    };
    const json::object settings{
      { "node_name", mName },
      { "role", "node" },
      { "machine_class", "front" },
      { "serves", json::array{ "front" } },
      { "ip", "127.0.0.1" },
      { "zone", "here" },
      { "region", "near" },
      { "internal_ports", json::array{ mFirstPort + 2, mFirstPort + 9 } },
      { "bootstrap", true },
      { "discovery", "platform" },
      { "entry", "virtual_ip" },
      { "heartbeat_ms", 1200 },
      { "contracts",
        json::array{
          "base", "drain", "config", "cost", "recover", "sql", "platform" } },
      { "zones", json::object{ { "here", "near" } } },
      { "listen",
        json::object{ { "front", at(mFirstPort) },
                      { "ready", at(mFirstPort + 1U) } } },
      { "limits",
        json::object{ { "cpu_share", 0.25 },
                      { "cores", 1 },
                      { "memory_mb", 260 },
                      { "max_fds", 4200 },
                      { "link_mbps", aSettings.linkMegabits },
                      { "disk_mb", 0 } } },
      { "fault_tolerance",
        json::object{ { "machines", 2 }, { "zones", 0 }, { "regions", 0 } } },
      { "bounds",
        json::object{
          { "seed_lag_s", 3 },
          { "addr_reuse_s", 2 },
          { "stable_window_ms", 4000 },
          { "ack_ms", 5000 },
          { "catch_up_s", 4 },
          { "drain_ms", 7000 },
          { "grace_s", 6 },
          { "loss_slack_ms", 200 },
          { "config_apply_ms", aSettings.configurationBound.count() },
          { "downgrade_slack_ms", 250 },
          { "max_stretch_ms", 12000 },
          { "recovery_s", 12 },
          { "require_fencing", false },
          { "unfreeze_slack_ms", 300 } } },
      { "platform",
        json::object{ { "address", at(aStorePort) },
                      { "form", "kv" },
                      { "writes_per_s", 400 },
                      { "reads_per_s", 2000 },
                      { "history_s", 20 },
                      { "value_bytes", 1048576 },
                      { "ttl_min_ms", 1000 } } },
      { "cloud_api",
        json::object{ { "address", at(aPromotionPort) },
                      { "rate_per_s", 50.0 },
                      { "duties", json::array{ "failover" } },
                      { "duties_per_s", 50.0 } } }
    };
    std::ofstream(mSettings) << json::serialize(settings);
  }
  vm(const vm&) = delete;
  vm& operator=(const vm&) = delete;
  ~vm()
  {
    if (mPid > 0) {
      ::kill(mPid, SIGKILL);
      ::waitpid(mPid, nullptr, 0);
    }
  }

  [[nodiscard]] const std::string& Name() const { return mName; }
  [[nodiscard]] unsigned short FrontPort() const { return mFirstPort; }

  /// Starts the command of the deploy file, in the repository root.
  void Start()
  {
    const auto parent = ::getpid();
    mPid = ::fork();
    if (mPid != 0) {
      return;
    }
    // Ends with the case, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(1);
    }
    const int log = ::open(mLog.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    for (int other = 3; other < 1024; ++other) {
      ::close(other);
    }
    const std::string variable = "CURRANTSHED_CONFIG=" + mSettings;
    const char* const program = "target/currantshed-node";
    const char* arguments[] = { program, nullptr };
    const char* environment[] = { variable.c_str(), "LANG=C", nullptr };
    ::execve(program,
             const_cast<char* const*>(arguments),
             const_cast<char* const*>(environment));
    ::_exit(127);
  }

  void Signal(int aSignal) const { ::kill(mPid, aSignal); }

  /// Whether the process has ended.
  [[nodiscard]] bool HasEnded()
  {
    if (mPid > 0 && ::waitpid(mPid, nullptr, WNOHANG) == mPid) {
      mPid = 0;
    }
    return mPid == 0;
  }

  /// Whether it answers 200 to the platform's question.
  [[nodiscard]] bool IsReady() const
  {
    asio::io_context context;
    tcp::socket socket(context);
    beast::error_code error;
    socket.connect({ asio::ip::make_address("127.0.0.1"),
                     static_cast<unsigned short>(mFirstPort + 1) },
                   error);
    if (error) {
      return false;
    }
    const timeval limit{ 0, 300000 };
    ::setsockopt(
      socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    const std::string request = "GET /readiness HTTP/1.1\r\nHost: vm\r\n"
                                "Connection: close\r\n\r\n";
    asio::write(socket, asio::buffer(request), error);
    char answer[12];
    const auto count =
      ::recv(socket.native_handle(), answer, sizeof(answer), MSG_WAITALL);
    return count == sizeof(answer) &&
           std::string(answer, sizeof(answer)) == "HTTP/1.1 200";
  }

  /// Copies what the process has written to a file, for who looks for a cause.
  void KeepLog(const std::string& aFolder) const
  {
    std::ifstream from(mLog);
    std::ofstream(aFolder + "/" + mName + ".log") << from.rdbuf();
  }

private:
  std::string mName;
  unsigned short mFirstPort;
  std::string mSettings;
  std::string mLog;
  pid_t mPid = 0;
};

/// Whether the case runs with its disruption.
inline bool
HasTrouble()
{
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

} // namespace review

#endif

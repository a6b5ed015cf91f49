// Callers and servers on plain sockets, to check that VMs between them forward
// every text byte for byte.
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <list>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "test/wire/plain_caller.hpp"
#include "test/wire/plain_servers.hpp"

namespace {

using namespace currantshed::test;

constexpr unsigned kServers = 6;
constexpr std::size_t kShownFaults = 20;

struct options
{
  std::uint16_t serversPort = 0;
  /// Callers' port of each VM.
  std::vector<std::uint16_t> ports;
  unsigned seed = 1;
  unsigned texts = 20;
};

options
ReadOptions(int aCount, char** aValues)
{
  options chosen;
  for (int i = 1; i + 1 < aCount; i += 2) {
    const std::string name = aValues[i];
    const std::string value = aValues[i + 1];
    const auto number = static_cast<unsigned>(std::atoi(value.c_str()));
    if (name == "--servers-port") {
      chosen.serversPort = static_cast<std::uint16_t>(number);
    } else if (name == "--seed") {
      chosen.seed = number;
    } else if (name == "--texts") {
      chosen.texts = number;
    } else if (name == "--ports") {
      std::istringstream list(value);
      for (std::string one; std::getline(list, one, ',');) {
        chosen.ports.push_back(
          static_cast<std::uint16_t>(std::atoi(one.c_str())));
      }
    }
  }
  return chosen;
}

// What callers were told and what servers ran must be the same.
std::vector<std::string>
Compare(const wire::caller_log& aSent, const wire::server_log& aRun)
{
  auto faults = aSent.wrong;
  for (const auto& [id, texts] : aRun.byCallers) {
    const auto found = aSent.sent.find(id);
    for (const auto& text : texts) {
      if (found == aSent.sent.end()) {
        faults.push_back("run, but sent by no caller: " + id);
      } else if (found->second != text) {
        faults.push_back("run with changed text: " + id);
      }
    }
  }
  for (const auto& text : aRun.byVms) {
    if (!aSent.settings.contains(text)) {
      faults.push_back("setting with changed text: " + text.substr(0, 20));
    }
  }
  for (const auto& id : aSent.done) {
    if (!aRun.byCallers.contains(id)) {
      faults.push_back("answered, but not run: " + id);
    }
  }
  return faults;
}

} // namespace

int
main(int aCount, char** aValues)
{
  const auto chosen = ReadOptions(aCount, aValues);
  wire::plain_servers servers;
  if (!servers.Start(chosen.serversPort, kServers)) {
    std::cerr << "wire-check: a port is taken\n";
    return EXIT_FAILURE;
  }
  // Tells the script that the servers listen; it starts the VMs and answers
  // with a line.
  std::cout << "listening" << std::endl;
  std::string line;
  std::getline(std::cin, line);

  std::list<wire::plain_caller> callers;
  std::vector<std::thread> threads;
  const std::string databases[] = { "group-0.primary",
                                    "group-1.read_your_writes" };
  for (const auto port : chosen.ports) {
    for (const auto& database : databases) {
      auto& made = callers.emplace_back(
        port, database, static_cast<unsigned>(callers.size()), chosen.seed);
      threads.emplace_back([&made, &chosen] { made.Run(chosen.texts); });
    }
  }
  for (auto& one : threads) {
    one.join();
  }
  wire::caller_log all;
  for (const auto& one : callers) {
    const auto& log = one.Log();
    all.sent.insert(log.sent.begin(), log.sent.end());
    all.settings.insert(log.settings.begin(), log.settings.end());
    all.done.insert(all.done.end(), log.done.begin(), log.done.end());
    all.wrong.insert(all.wrong.end(), log.wrong.begin(), log.wrong.end());
  }
  const auto ran = servers.Log();
  const auto faults = Compare(all, ran);
  std::cout << "sent=" << all.sent.size() << " done=" << all.done.size()
            << " run=" << ran.byCallers.size()
            << " settings=" << ran.byVms.size() << " faults=" << faults.size()
            << '\n';
  for (std::size_t i = 0; i < std::min(faults.size(), kShownFaults); ++i) {
    std::cout << faults[i] << '\n';
  }
  std::cout.flush();
  std::_Exit(faults.empty() && !all.done.empty() ? EXIT_SUCCESS : EXIT_FAILURE);
}

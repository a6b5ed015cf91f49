#ifndef CURRANTSHED_TEST_WIRE_PLAIN_SERVERS_HPP
#define CURRANTSHED_TEST_WIRE_PLAIN_SERVERS_HPP

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace currantshed::test::wire {

/// Texts that servers have run.
struct server_log
{
  /// Statements of callers, by id.
  std::map<std::string, std::vector<std::string>> byCallers;
  /// Session values and texts to prepare, which VMs send on their own, without
  /// the name of a prepared statement.
  std::set<std::string> byVms;
};

/// Database servers in groups of three, the first of each the primary. They
/// hold no data: a read returns its own text as a row, or as an error if it
/// begins with "fail". They record each statement byte for byte.
class plain_servers
{
public:
  /// Listens on that many ports in a row and serves them until the process
  /// ends. Returns false if a port is taken.
  [[nodiscard]] bool Start(std::uint16_t aFirstPort, unsigned aCount);

  [[nodiscard]] server_log Log() const;

  void RecordCaller(const std::string& aId, std::string aText);
  void RecordVm(std::string aText);

private:
  mutable std::mutex mMutex;
  server_log mLog;
};

} // namespace currantshed::test::wire

#endif

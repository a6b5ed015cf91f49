#ifndef CURRANTSHED_TEST_MATRIX_HISTORY_HPP
#define CURRANTSHED_TEST_MATRIX_HISTORY_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace currantshed::matrix {

/// Time since the beginning of a run.
using instant = std::chrono::microseconds;

/// What a caller was told.
enum class told
{
  kNothing,
  kDone,
  kNotRun,
  kUnknown,
  kRefused,
};

/// One change as its caller knows it: a request, or a whole transaction.
struct change_record
{
  unsigned number = 0;
  unsigned session = 0;
  /// Values that it adds, in order.
  std::vector<std::string> values;
  std::string key;
  instant sent{ 0 };
  instant answered{ 0 };
  told outcome = told::kNothing;
  /// Server that the answer names.
  std::string servedBy;
  /// Whether the answer tells of a change made earlier under the same key.
  bool repeated = false;
  std::string why;
};

/// One read.
struct read_record
{
  unsigned number = 0;
  unsigned session = 0;
  /// Whether it went with the session's token.
  bool withToken = false;
  /// How old its data may be; zero for a fresh read.
  std::chrono::milliseconds bound{ 0 };
  instant sent{ 0 };
  instant answered{ 0 };
  told outcome = told::kNothing;
  std::vector<std::string> values;
  /// Whether every statement was answered, and by its own answer.
  bool whole = true;
  bool byReplica = false;
};

/// A transaction in the log of the last primary.
struct kept_record
{
  std::uint64_t term = 0;
  std::vector<std::string> values;
};

/// A server that became primary.
struct promotion
{
  std::uint64_t term = 0;
  std::string server;
  instant at{ 0 };
};

/// Work that began on a server.
struct work_record
{
  std::string server;
  instant at{ 0 };
};

/// A server that was marked as leaving.
struct leaving_record
{
  std::string server;
  /// From when on it must get no new work.
  instant freeFrom{ 0 };
};

/// A process that was stopped gracefully, and what was cut off by its end.
struct stop_record
{
  std::string process;
  unsigned cutOff = 0;
};

/// A version that came in force in one life of a process.
struct version_record
{
  std::string process;
  std::uint64_t version = 0;
  std::string declaration;
};

/// What an operator was told about a change of the configuration.
struct applied_record
{
  std::string declaration;
  std::uint64_t version = 0;
  told outcome = told::kNothing;
};

/// All that a run left: what callers and operators were told, and what
/// servers and processes hold.
struct history
{
  std::vector<change_record> changes;
  std::vector<read_record> reads;
  std::vector<kept_record> log;
  std::vector<promotion> promotions;
  std::vector<work_record> work;
  std::vector<leaving_record> leaving;
  std::vector<stop_record> stops;
  /// In the order of their coming in force.
  std::vector<version_record> versions;
  std::vector<applied_record> applied;
  /// Every version that the store held.
  std::vector<version_record> stored;
  /// Processes that must hold the last version at the end.
  std::vector<std::string> lastProcesses;
  /// From when on everything works again.
  instant healed{ 0 };
  bool settled = false;
};

} // namespace currantshed::matrix

#endif

#ifndef CURRANTSHED_STANDIN_FLEET_GROUP_HPP
#define CURRANTSHED_STANDIN_FLEET_GROUP_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace currantshed::standin::fleet {

/// One committed change: assigns a value to an item.
struct record
{
  std::uint64_t term = 0;
  std::string item;
  std::string value;
};

/// One server of a group.
struct server
{
  std::string id;
  std::string group;
  std::string address;
  bool up = true;
  bool draining = false;
  bool isPrimary = false;
  std::uint64_t fencedTerm = 0;
  /// Number of starts; connections end when the server restarts.
  unsigned starts = 1;
  std::vector<record> log;
  /// Number of log records that are applied and visible to reads.
  std::size_t applied = 0;
  unsigned connections = 0;
  /// Percentage of statements that are answered BUSY without being run.
  unsigned shedPercent = 0;
  /// Number of statements answered so.
  unsigned shed = 0;

  /// Whether the next statement is answered BUSY.
  [[nodiscard]] bool Sheds();

  [[nodiscard]] std::uint64_t Term() const
  {
    return log.empty() ? 1 : log.back().term;
  }

  /// The position of the last applied record, as TERM.NUMBER.
  [[nodiscard]] std::string AppliedPosition() const;

  /// Whether the record at this position has been applied.
  [[nodiscard]] bool HasApplied(std::uint64_t aTerm,
                                std::uint64_t aNumber) const;

  /// The newest applied value of an item, or a dash.
  [[nodiscard]] std::string Read(const std::string& aItem) const;

private:
  unsigned mShedSum = 0;
};

/// A primary and its replicas.
class group
{
public:
  group(std::string aName, std::vector<server> aServers);

  [[nodiscard]] server* Find(const std::string& aId);
  [[nodiscard]] std::vector<server>& Servers() { return mServers; }
  [[nodiscard]] const std::string& Name() const { return mName; }
  [[nodiscard]] std::uint64_t Term() const { return mTerm; }

  /// Whether the server is the primary of the newest term.
  [[nodiscard]] bool IsPrimary(const server& aServer) const
  {
    return aServer.isPrimary && aServer.id == mPrimary;
  }

  /// Appends changes to the log of a primary. Reachable replicas receive them
  /// synchronously, so that a promotion does not lose them.
  void Commit(server& aAt, const std::vector<record>& aChanges);

  /// Replicas that are up and not fenced apply the records they have received
  /// and receive those they lack.
  void AdvanceReplicas();

  /// Makes a server the primary of the next term; false if it is down.
  [[nodiscard]] bool Promote(const std::string& aId);

  /// Restarts a server under its id with an empty log, as a replica.
  void Restart(const std::string& aId);

  /// Counts values that were committed more than once for the same item in the
  /// log of the current primary.
  [[nodiscard]] unsigned CountDuplicates() const;

private:
  [[nodiscard]] bool IsReplicating(const server& aServer) const;
  void Replicate(const server& aPrimary);

  std::string mName;
  std::vector<server> mServers;
  std::uint64_t mTerm = 1;
  std::string mPrimary;
};

} // namespace currantshed::standin::fleet

#endif

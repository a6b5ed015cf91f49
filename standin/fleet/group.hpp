#ifndef CURRANTSHED_STANDIN_FLEET_GROUP_HPP
#define CURRANTSHED_STANDIN_FLEET_GROUP_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace currantshed::standin::fleet {

/// One committed change: an item gets a value.
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
  /// Starts so far; connections end with the one that they were made in.
  unsigned starts = 1;
  std::vector<record> log;
  /// Records that reads see.
  std::size_t applied = 0;
  unsigned connections = 0;

  [[nodiscard]] std::uint64_t Term() const
  {
    return log.empty() ? 1 : log.back().term;
  }

  /// The position up to which reads see the log, as TERM.NUMBER.
  [[nodiscard]] std::string AppliedPosition() const;

  /// Whether reads see the record at that position.
  [[nodiscard]] bool HasApplied(std::uint64_t aTerm,
                                std::uint64_t aNumber) const;

  /// The newest value of an item that reads see, or a dash.
  [[nodiscard]] std::string Read(const std::string& aItem) const;
};

/// Servers that follow one primary.
class group
{
public:
  group(std::string aName, std::vector<server> aServers);

  [[nodiscard]] server* Find(const std::string& aId);
  [[nodiscard]] std::vector<server>& Servers() { return mServers; }
  [[nodiscard]] const std::string& Name() const { return mName; }
  [[nodiscard]] std::uint64_t Term() const { return mTerm; }

  /// Whether the server leads the newest term.
  [[nodiscard]] bool IsPrimary(const server& aServer) const
  {
    return aServer.isPrimary && aServer.id == mPrimary;
  }

  /// Appends changes at a server that leads; replicas in reach receive them at
  /// once, so that no promotion loses one.
  void Commit(server& aAt, const std::vector<record>& aChanges);

  /// Replicas that are up and not fenced apply what they have received, and
  /// receive what they lack.
  void AdvanceReplicas();

  /// Makes a server primary of the next term; false if it is not up.
  [[nodiscard]] bool Promote(const std::string& aId);

  /// The server starts again under its id: it holds nothing and leads nothing.
  void Restart(const std::string& aId);

  /// Values that were committed more than once for an item, in the log of the
  /// present primary.
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

#ifndef CURRANTSHED_STANDIN_FLEET_SESSION_HPP
#define CURRANTSHED_STANDIN_FLEET_SESSION_HPP

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "standin/fleet/group.hpp"

namespace currantshed::standin::fleet {

/// One connection to a server of a group; answers each line immediately.
class session
{
public:
  session(group& aGroup, std::string aServer, unsigned aMaxConnections);
  session(const session&) = delete;
  session& operator=(const session&) = delete;
  ~session();

  /// Returns the answer to a line; an empty answer closes the connection.
  [[nodiscard]] std::string Answer(std::string_view aLine);

private:
  struct prepared
  {
    bool writes = false;
    std::string shape;
  };

  [[nodiscard]] std::string HandleStart(std::string_view aLine);
  [[nodiscard]] std::string HandleQuery(const std::string& aId,
                                        std::string_view aText);
  [[nodiscard]] std::string HandleWrite(const std::string& aId,
                                        std::string_view aArguments);
  [[nodiscard]] std::string HandleControl(std::string_view aKeyword,
                                          std::string_view aArgument);
  [[nodiscard]] std::string ReadyReply() const;
  [[nodiscard]] std::string CompletionReply(const std::string& aSignature,
                                            const std::string& aRow = {}) const;
  [[nodiscard]] std::string ErrorReply(const std::string& aCode);
  [[nodiscard]] server& Self() const;

  group& mGroup;
  std::string mServer;
  unsigned mMaxConnections;
  unsigned mStart;
  bool mIsOpen = false;
  bool mInTransaction = false;
  bool mIsReadOnly = false;
  bool mFailed = false;
  std::map<std::string, prepared> mPrepared;
  std::vector<record> mChanges;
};

} // namespace currantshed::standin::fleet

#endif

#include "standin/fleet/session.hpp"

#include <cstdlib>

namespace currantshed::standin::fleet {

namespace {

std::string_view
NextWord(std::string_view& aText)
{
  const auto end = aText.find(' ');
  const auto keyword = aText.substr(0, end);
  aText =
    end == std::string_view::npos ? std::string_view{} : aText.substr(end + 1);
  return keyword;
}

std::uint64_t
Number(std::string_view aText)
{
  return std::strtoull(std::string(aText).c_str(), nullptr, 10);
}

// Whether an overloaded server may refuse the statement. Session settings and
// control commands take no execution slot, and a rollback is always accepted.
bool
IsWork(std::string_view aKeyword)
{
  return aKeyword == "AFTERLSN" || aKeyword == "READ" || aKeyword == "WRITE" ||
         aKeyword == "EXECUTE" || aKeyword == "BEGIN" || aKeyword == "COMMIT";
}

} // namespace

session::session(group& aGroup, std::string aServer, unsigned aMaxConnections)
  : mGroup(aGroup)
  , mServer(std::move(aServer))
  , mMaxConnections(aMaxConnections)
  , mStart(Self().starts)
{
  ++Self().connections;
}

session::~session()
{
  --Self().connections;
}

server&
session::Self() const
{
  return *mGroup.Find(mServer);
}

std::string
session::Answer(std::string_view aLine)
{
  if (!Self().up || Self().starts != mStart) {
    return {};
  }
  const auto keyword = NextWord(aLine);
  if (!mIsOpen) {
    return keyword == "START" ? HandleStart(aLine) : std::string();
  }
  if (keyword != "QUERY") {
    return {};
  }
  const std::string id(NextWord(aLine));
  return HandleQuery(id, aLine);
}

std::string
session::HandleStart(std::string_view aLine)
{
  const auto service = NextWord(aLine);
  NextWord(aLine);
  if (service != mGroup.Name() || (!aLine.empty() && aLine != mServer)) {
    return "ERROR MISROUTED " + mServer + "\r\n";
  }
  if (Self().connections > mMaxConnections) {
    return "ERROR TOOMANYCON full\r\n";
  }
  mIsOpen = true;
  return ReadyReply();
}

std::string
session::ReadyReply() const
{
  const char* state = mFailed ? "E" : mInTransaction ? "T" : "I";
  return std::string("READY ") + state + " " + Self().AppliedPosition() +
         "\r\n";
}

std::string
session::CompletionReply(const std::string& aSignature,
                         const std::string& aRow) const
{
  const auto row = aRow.empty() ? std::string() : "DATAROW " + aRow + "\r\n";
  return row + "COMPLETE " + aSignature + "\r\n" + ReadyReply();
}

std::string
session::ErrorReply(const std::string& aCode)
{
  mFailed = mInTransaction;
  return "ERROR " + aCode + " " + mServer + "\r\n" + ReadyReply();
}

std::string
session::HandleQuery(const std::string& aId, std::string_view aText)
{
  auto keyword = NextWord(aText);
  if (!mFailed && IsWork(keyword) && Self().Sheds()) {
    return ErrorReply("BUSY");
  }
  if (keyword == "AFTERLSN") {
    const auto position = NextWord(aText);
    const auto dot = position.find('.');
    if (!Self().HasApplied(Number(position.substr(0, dot)),
                           Number(position.substr(dot + 1)))) {
      return "ERROR LAGGING " + mServer + "\r\n" + ReadyReply();
    }
    keyword = NextWord(aText);
  }
  const std::string signature = "signed-" + aId;
  if (keyword == "ROLLBACK") {
    mInTransaction = mFailed = false;
    mChanges.clear();
    return CompletionReply("-");
  }
  if (mFailed) {
    return ErrorReply("MALFORMED");
  }
  if (keyword == "READ") {
    return CompletionReply(signature,
                           Self().Read(std::string(NextWord(aText))));
  }
  if (keyword == "WRITE") {
    return HandleWrite(aId, aText);
  }
  if (keyword == "BEGIN") {
    mIsReadOnly = aText == "READ";
    if (!mIsReadOnly && !Self().isPrimary) {
      return ErrorReply("READONLY");
    }
    mInTransaction = true;
    return CompletionReply("-");
  }
  if (keyword == "COMMIT") {
    mInTransaction = false;
    if (!mChanges.empty() && !Self().isPrimary) {
      mChanges.clear();
      return ErrorReply("READONLY");
    }
    mGroup.Commit(Self(), std::exchange(mChanges, {}));
    return CompletionReply(signature);
  }
  if (keyword == "PREPARE") {
    const std::string name(NextWord(aText));
    mPrepared[name] = { NextWord(aText) == "WRITE", std::string(aText) };
    return CompletionReply("-");
  }
  if (keyword == "EXECUTE") {
    const auto found = mPrepared.find(std::string(NextWord(aText)));
    if (found == mPrepared.end()) {
      return ErrorReply("NOSTMT");
    }
    return found->second.writes
             ? HandleWrite(aId, aText)
             : CompletionReply(signature,
                               Self().Read(std::string(NextWord(aText))));
  }
  if (keyword == "SET" || keyword == "DEALLOC") {
    return CompletionReply("-");
  }
  if (keyword == "RESET") {
    mPrepared.clear();
    return CompletionReply("-");
  }
  return HandleControl(keyword, aText);
}

std::string
session::HandleWrite(const std::string& aId, std::string_view aArguments)
{
  if (!Self().isPrimary || mIsReadOnly) {
    return ErrorReply("READONLY");
  }
  record change;
  change.item = NextWord(aArguments);
  change.value = aArguments;
  if (mInTransaction) {
    mChanges.push_back(change);
  } else {
    mGroup.Commit(Self(), { change });
  }
  return CompletionReply("signed-" + aId);
}

std::string
session::HandleControl(std::string_view aKeyword, std::string_view aArgument)
{
  auto& self = Self();
  if (aKeyword == "PAUSE") {
    self.fencedTerm = self.isPrimary ? 0 : Number(aArgument);
  } else if (aKeyword == "RESUME") {
    self.fencedTerm = 0;
  } else if (aKeyword == "DEMOTE") {
    self.isPrimary = self.isPrimary && mGroup.Term() >= Number(aArgument);
  } else if (aKeyword != "STATUS") {
    return ErrorReply("MALFORMED");
  }
  const auto term = self.isPrimary ? mGroup.Term() : self.Term();
  const auto received =
    std::to_string(self.Term()) + "." + std::to_string(self.log.size());
  return CompletionReply("-",
                         std::string(self.isPrimary ? "primary " : "replica ") +
                           std::to_string(term) + " " + received + " " +
                           std::to_string(self.fencedTerm) + " 0 0 " +
                           std::to_string(self.connections));
}

} // namespace currantshed::standin::fleet

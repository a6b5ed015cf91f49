#include "standin/fleet/session.hpp"

#include <cstdlib>

namespace currantshed::standin::fleet {

namespace {

std::string_view
Word(std::string_view& aText)
{
  const auto end = aText.find(' ');
  const auto word = aText.substr(0, end);
  aText =
    end == std::string_view::npos ? std::string_view{} : aText.substr(end + 1);
  return word;
}

std::uint64_t
Number(std::string_view aText)
{
  return std::strtoull(std::string(aText).c_str(), nullptr, 10);
}

} // namespace

session::session(group& aGroup, std::string aServer, unsigned aMostConnections)
  : mGroup(aGroup)
  , mServer(std::move(aServer))
  , mMostConnections(aMostConnections)
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
  const auto word = Word(aLine);
  if (!mIsOpen) {
    return word == "START" ? Begin(aLine) : std::string();
  }
  if (word != "QUERY") {
    return {};
  }
  const std::string id(Word(aLine));
  return Run(id, aLine);
}

std::string
session::Begin(std::string_view aLine)
{
  const auto service = Word(aLine);
  Word(aLine);
  if (service != mGroup.Name() || (!aLine.empty() && aLine != mServer)) {
    return "ERROR MISROUTED " + mServer + "\r\n";
  }
  if (Self().connections > mMostConnections) {
    return "ERROR TOOMANYCON full\r\n";
  }
  mIsOpen = true;
  return Ready();
}

std::string
session::Ready() const
{
  const char* state = mFailed ? "E" : mInTransaction ? "T" : "I";
  return std::string("READY ") + state + " " + Self().At() + "\r\n";
}

std::string
session::Done(const std::string& aSignature, const std::string& aRow) const
{
  const auto row = aRow.empty() ? std::string() : "DATAROW " + aRow + "\r\n";
  return row + "COMPLETE " + aSignature + "\r\n" + Ready();
}

std::string
session::Refuse(const std::string& aCode)
{
  mFailed = mInTransaction;
  return "ERROR " + aCode + " " + mServer + "\r\n" + Ready();
}

std::string
session::Run(const std::string& aId, std::string_view aText)
{
  auto word = Word(aText);
  if (word == "AFTERLSN") {
    const auto position = Word(aText);
    const auto dot = position.find('.');
    if (!Self().Has(Number(position.substr(0, dot)),
                    Number(position.substr(dot + 1)))) {
      return "ERROR LAGGING " + mServer + "\r\n" + Ready();
    }
    word = Word(aText);
  }
  const std::string signature = "signed-" + aId;
  if (word == "ROLLBACK") {
    mInTransaction = mFailed = false;
    mChanges.clear();
    return Done("-");
  }
  if (mFailed) {
    return Refuse("MALFORMED");
  }
  if (word == "READ") {
    return Done(signature, Self().Read(std::string(Word(aText))));
  }
  if (word == "WRITE") {
    return Change(aId, aText);
  }
  if (word == "BEGIN") {
    mIsReadOnly = aText == "READ";
    if (!mIsReadOnly && !Self().leads) {
      return Refuse("READONLY");
    }
    mInTransaction = true;
    return Done("-");
  }
  if (word == "COMMIT") {
    mInTransaction = false;
    if (!mChanges.empty() && !Self().leads) {
      mChanges.clear();
      return Refuse("READONLY");
    }
    mGroup.Commit(Self(), std::exchange(mChanges, {}));
    return Done(signature);
  }
  if (word == "PREPARE") {
    const std::string name(Word(aText));
    mPrepared[name] = { Word(aText) == "WRITE", std::string(aText) };
    return Done("-");
  }
  if (word == "EXECUTE") {
    const auto found = mPrepared.find(std::string(Word(aText)));
    if (found == mPrepared.end()) {
      return Refuse("NOSTMT");
    }
    return found->second.writes
             ? Change(aId, aText)
             : Done(signature, Self().Read(std::string(Word(aText))));
  }
  if (word == "SET" || word == "DEALLOC") {
    return Done("-");
  }
  if (word == "RESET") {
    mPrepared.clear();
    return Done("-");
  }
  return Control(word, aText);
}

std::string
session::Change(const std::string& aId, std::string_view aArguments)
{
  if (!Self().leads || mIsReadOnly) {
    return Refuse("READONLY");
  }
  record change;
  change.item = Word(aArguments);
  change.value = aArguments;
  if (mInTransaction) {
    mChanges.push_back(change);
  } else {
    mGroup.Commit(Self(), { change });
  }
  return Done("signed-" + aId);
}

std::string
session::Control(std::string_view aWord, std::string_view aArgument)
{
  auto& self = Self();
  if (aWord == "PAUSE") {
    self.fencedAt = self.leads ? 0 : Number(aArgument);
  } else if (aWord == "RESUME") {
    self.fencedAt = 0;
  } else if (aWord == "DEMOTE") {
    self.leads = self.leads && mGroup.Term() >= Number(aArgument);
  } else if (aWord != "STATUS") {
    return Refuse("MALFORMED");
  }
  const auto term = self.leads ? mGroup.Term() : self.Term();
  const auto received =
    std::to_string(self.Term()) + "." + std::to_string(self.log.size());
  return Done("-",
              std::string(self.leads ? "primary " : "replica ") +
                std::to_string(term) + " " + received + " " +
                std::to_string(self.fencedAt) + " 0 0 " +
                std::to_string(self.connections));
}

} // namespace currantshed::standin::fleet

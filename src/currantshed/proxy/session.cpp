#include "currantshed/proxy/session.hpp"

#include <utility>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace currantshed::proxy {

session::session(std::uint64_t aNumber, std::string aDatabase, caller& aCaller)
  : number(aNumber)
  , database(std::move(aDatabase))
  , client(aCaller)
{
}

std::optional<answer>
session::AnswerLocally(const session_statement& aStatement)
{
  const bool failed = transaction && transaction->failed;
  switch (aStatement.kind) {
    case statement_kind::kInvalid:
      return Refuse(failure_code::kMalformed, aStatement.text);
    case statement_kind::kCommit:
      if (failed) {
        transaction.reset();
        return Refuse(failure_code::kAborted, "the transaction had failed");
      }
      if (!transaction) {
        return Refuse(failure_code::kMalformed, "no transaction is open");
      }
      return std::nullopt;
    case statement_kind::kRollback:
      if (!transaction) {
        return Refuse(failure_code::kMalformed, "no transaction is open");
      }
      transaction.reset();
      return Local();
    default:
      break;
  }
  if (failed) {
    return Refuse(failure_code::kMalformed, "the transaction has failed");
  }
  switch (aStatement.kind) {
    case statement_kind::kBegin:
    case statement_kind::kBeginReadOnly:
      if (transaction) {
        return Refuse(failure_code::kMalformed, "a transaction is open");
      }
      return std::nullopt;
    case statement_kind::kReset:
      values.clear();
      mPrepared.clear();
      return Local();
    case statement_kind::kSet:
      values[aStatement.name] = aStatement.argument;
      return Local();
    case statement_kind::kPrepare:
      mPrepared[aStatement.name] = MakePrepared(aStatement);
      return Local();
    case statement_kind::kDeallocate:
      if (mPrepared.erase(aStatement.name) == 0) {
        return Refuse(failure_code::kNoStatement, aStatement.name);
      }
      return Local();
    case statement_kind::kExecute:
      if (!mPrepared.contains(aStatement.name)) {
        return Refuse(failure_code::kNoStatement, aStatement.name);
      }
      return std::nullopt;
    default:
      return std::nullopt;
  }
}

const prepared_statement*
session::Prepared(const std::string& aName) const
{
  const auto found = mPrepared.find(aName);
  return found == mPrepared.end() ? nullptr : &found->second;
}

transaction_state
session::State() const noexcept
{
  if (!transaction) {
    return transaction_state::kIdle;
  }
  return transaction->failed ? transaction_state::kFailed
                             : transaction_state::kOpen;
}

answer
session::Local() const
{
  answer made;
  made.signature = "-";
  made.state = State();
  return made;
}

answer
session::Refuse(failure_code aCode, std::string aText) const
{
  answer made;
  made.failed = failure{ aCode, std::move(aText) };
  made.state = State();
  return made;
}

prepared_statement
MakePrepared(const session_statement& aPrepare)
{
  auto content = std::string(aPrepare.writes ? "w" : "r");
  if (aPrepare.argument) {
    absl::StrAppend(&content, " ", *aPrepare.argument);
  }
  const auto hash = XXH3_64bits(content.data(), content.size());
  prepared_statement made;
  made.sharedName = absl::StrCat("c", absl::Hex(hash, absl::kZeroPad16));
  made.shape = aPrepare.argument;
  made.writes = aPrepare.writes;
  return made;
}

} // namespace currantshed::proxy

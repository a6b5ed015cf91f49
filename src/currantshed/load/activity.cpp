#include "currantshed/load/activity.hpp"

#include <charconv>
#include <utility>

#include "currantshed/load/tables.hpp"

// False positive of GCC 12: where it inlines the frames of Asio coroutines, it
// matches them with the wrong operator delete.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace currantshed::load {

namespace {

namespace asio = boost::asio;
using policy::access;
using policy::work_class;

constexpr unsigned kHundred = 100;

work_class
PickClass(caller& aCaller, access aKind)
{
  const auto classes = ClassesOf(aCaller.Plan(), aKind);
  return classes[aCaller.RandomBelow(classes.size())];
}

/// Builds a list of statements outside of coroutine expressions, in which GCC
/// 12 fails to compile braced lists.
template<typename... statement>
std::vector<sql_statement>
Batch(statement... aStatements)
{
  return { std::move(aStatements)... };
}

/// Starts the record of a change.
change_record
BeginChange(caller& aCaller, const std::string& aGroup)
{
  change_record record;
  record.group = aGroup;
  record.key = aCaller.NewKey();
  record.change = "change-" + record.key;
  record.sent = aCaller.Now();
  return record;
}

/// Completes the record of a change with its outcome.
void
EndChange(caller& aCaller, change_record aRecord, change_outcome aOutcome)
{
  aRecord.outcome = aOutcome;
  aRecord.answered = aCaller.Now();
  progress& counts = aCaller.Progress();
  counts.acknowledged += aOutcome == change_outcome::kDone ? 1 : 0;
  counts.notRun += aOutcome == change_outcome::kNotRun ? 1 : 0;
  counts.unknown += aOutcome == change_outcome::kUnknown ? 1 : 0;
  aCaller.History().changes.push_back(std::move(aRecord));
}

/// Determines the outcome of a change; queries it if the answer does not state
/// it.
asio::awaitable<change_outcome>
OutcomeOf(caller& aCaller, const change_record& aRecord, const answer& aReply)
{
  if (aReply.end == exchange_result::kNotSent) {
    co_return change_outcome::kAbandoned;
  }
  if (aReply.outcome != change_outcome::kUnknown) {
    co_return aReply.outcome;
  }
  co_return co_await aCaller.Resolve(aRecord.group, aRecord.key);
}

class write_activity : public activity
{
public:
  asio::awaitable<answer> Run(caller& aCaller, std::string aGroup) override
  {
    const work_class work = PickClass(aCaller, access::kWrite);
    const change_record record = BeginChange(aCaller, aGroup);
    const std::vector<sql_statement> statements =
      Batch(InsertChange(record.change));
    answer reply = co_await aCaller.Send(work, aGroup, statements, record.key);
    const change_outcome outcome = co_await OutcomeOf(aCaller, record, reply);
    EndChange(aCaller, record, outcome);
    if (outcome == change_outcome::kDone) {
      co_await ReadBack(aCaller, record);
      if (aCaller.RandomBelow(kHundred) < aCaller.Plan().repeatPercent) {
        (void)co_await aCaller.Send(work, aGroup, statements, record.key);
      }
    }
    co_return reply;
  }

private:
  /// The record is passed by value, since the coroutine may outlive a
  /// reference.
  static asio::awaitable<void> ReadBack(caller& aCaller, change_record aRecord)
  {
    aCaller.SwitchGateway();
    const work_class work = PickClass(aCaller, access::kRead);
    const answer reply = co_await aCaller.Send(
      work, aRecord.group, Batch(CountChange(aRecord.change)), {});
    if (reply.outcome == change_outcome::kDone) {
      const bool found = SingleValue(reply).value_or("0") != "0";
      aCaller.History().ownReads.push_back(
        { aRecord.group, aRecord.change, found });
    }
  }
};

class transaction_activity : public activity
{
public:
  explicit transaction_activity(bool aOpened)
    : mOpened(aOpened)
  {
  }

  asio::awaitable<answer> Run(caller& aCaller, std::string aGroup) override
  {
    const work_class work = PickClass(aCaller, access::kWrite);
    const auto slot = static_cast<unsigned>(aCaller.RandomBelow(kTagSlots));
    if (mOpened) {
      co_return co_await InTransaction(aCaller, work, aGroup, slot);
    }
    const change_record record = BeginChange(aCaller, aGroup);
    const answer reply =
      co_await aCaller.Send(work,
                            aGroup,
                            Batch(WriteTag(false, slot, record.change),
                                  WriteTag(true, slot, record.change),
                                  InsertChange(record.change),
                                  ReadTag(slot)),
                            record.key);
    RecordOwnTag(aCaller, record, reply);
    const change_outcome outcome = co_await OutcomeOf(aCaller, record, reply);
    EndChange(aCaller, record, outcome);
    co_return reply;
  }

private:
  /// A transaction must read its own tag; any other tag is a fractured read.
  static void RecordOwnTag(caller& aCaller,
                           const change_record& aRecord,
                           const answer& aReply)
  {
    if (aReply.outcome == change_outcome::kDone && !aReply.repeated) {
      aCaller.History().tagReads.push_back(
        { aRecord.group,
          aRecord.change,
          SingleValue(aReply).value_or("nothing") });
    }
  }

  /// A failure before the commit is sent leaves the change abandoned.
  static asio::awaitable<answer> InTransaction(caller& aCaller,
                                               work_class aWork,
                                               std::string aGroup,
                                               unsigned aSlot)
  {
    const change_record record = BeginChange(aCaller, aGroup);
    answer reply = co_await aCaller.Open(
      aWork, aGroup, Batch(WriteTag(false, aSlot, record.change)), record.key);
    const std::string transaction = reply.transaction;
    if (reply.outcome == change_outcome::kDone) {
      reply =
        co_await aCaller.Continue(aWork,

                                  transaction,
                                  Batch(WriteTag(true, aSlot, record.change),
                                        InsertChange(record.change),
                                        ReadTag(aSlot)));
      RecordOwnTag(aCaller, record, reply);
    }
    if (reply.outcome != change_outcome::kDone) {
      EndChange(aCaller, record, change_outcome::kAbandoned);
      if (!transaction.empty()) {
        (void)co_await aCaller.End(aWork, transaction, {});
      }
      co_return reply;
    }
    const bool keep = aCaller.RandomBelow(kHundred) >= kRollbackPercent;
    const std::string key = keep ? record.key : std::string();
    reply = co_await aCaller.End(aWork, transaction, key);
    change_outcome outcome = change_outcome::kAbandoned;
    if (keep) {
      outcome = co_await OutcomeOf(aCaller, record, reply);
    }
    EndChange(aCaller, record, outcome);
    co_return reply;
  }

  static constexpr unsigned kRollbackPercent = 20;
  bool mOpened;
};

class read_activity : public activity
{
public:
  asio::awaitable<answer> Run(caller& aCaller, std::string aGroup) override
  {
    const work_class work = PickClass(aCaller, access::kRead);
    if (aCaller.RandomBelow(2) == 0) {
      co_return co_await SeePair(aCaller, work, aGroup);
    }
    const run_offset sent = aCaller.Now();
    const answer reply =
      co_await aCaller.Send(work, aGroup, Batch(ReadClock()), {});
    const auto text = SingleValue(reply);
    if (reply.outcome == change_outcome::kDone) {
      clock_read read{ aGroup, 0, work.maxStaleness, sent };
      const std::string digits = text.value_or("0");
      std::from_chars(digits.data(), digits.data() + digits.size(), read.value);
      aCaller.History().clockReads.push_back(read);
    }
    co_return reply;
  }

private:
  static asio::awaitable<answer> SeePair(caller& aCaller,
                                         work_class aWork,
                                         std::string aGroup)
  {
    const auto slot = static_cast<unsigned>(aCaller.RandomBelow(kTagSlots));
    const answer reply =
      co_await aCaller.Send(aWork, aGroup, Batch(ReadTagPair(slot)), {});
    if (reply.outcome == change_outcome::kDone && reply.rows.size() == 1 &&
        reply.rows.front().size() == 2) {
      const auto& row = reply.rows.front();
      aCaller.History().tagReads.push_back(
        { aGroup, row[0].value_or(""), row[1].value_or("") });
    }
    co_return reply;
  }
};

class counter_activity : public activity
{
public:
  asio::awaitable<answer> Run(caller& aCaller, std::string aGroup) override
  {
    const work_class work = PickClass(aCaller, access::kWrite);
    const change_record record = BeginChange(aCaller, aGroup);
    ++mValue;
    const answer reply = co_await aCaller.Send(
      work,
      aGroup,
      Batch(AdvanceClock(mValue), InsertChange(record.change)),
      record.key);
    const change_outcome outcome = co_await OutcomeOf(aCaller, record, reply);
    EndChange(aCaller, record, outcome);
    if (outcome == change_outcome::kDone) {
      aCaller.History().clockWrites.push_back(
        { aGroup, mValue, aCaller.Now() });
    }
    co_return reply;
  }

private:
  std::uint64_t mValue = 0;
};

class setup_activity : public activity
{
public:
  asio::awaitable<answer> Run(caller& aCaller, std::string aGroup) override
  {
    const work_class work = PickClass(aCaller, access::kWrite);
    co_return co_await aCaller.Send(
      work, aGroup, MakeTables(), aCaller.NewKey());
  }
};

} // namespace

std::unique_ptr<activity>
MakeWriteActivity()
{
  return std::make_unique<write_activity>();
}

std::unique_ptr<activity>
MakeTransactionActivity(bool aOpened)
{
  return std::make_unique<transaction_activity>(aOpened);
}

std::unique_ptr<activity>
MakeReadActivity()
{
  return std::make_unique<read_activity>();
}

std::unique_ptr<activity>
MakeCounterActivity()
{
  return std::make_unique<counter_activity>();
}

std::unique_ptr<activity>
MakeSetupActivity()
{
  return std::make_unique<setup_activity>();
}

} // namespace currantshed::load

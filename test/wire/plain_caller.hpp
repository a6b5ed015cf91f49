#ifndef CURRANTSHED_TEST_WIRE_PLAIN_CALLER_HPP
#define CURRANTSHED_TEST_WIRE_PLAIN_CALLER_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "test/wire/plain_connection.hpp"

namespace currantshed::test::wire {

/// What callers have sent and what they were answered.
struct caller_log
{
  /// Statements that a server may run, by id. That of an EXECUTE lacks the name
  /// of the prepared statement, which the system may change.
  std::map<std::string, std::string> sent;
  /// Session values and texts to prepare, as servers may get them.
  std::set<std::string> settings;
  /// Ids of the statements that were answered as done.
  std::vector<std::string> done;
  /// Descriptions of wrong answers.
  std::vector<std::string> wrong;
};

/// Runs sessions one after the other and checks each answer.
class plain_caller
{
public:
  plain_caller(std::uint16_t aPort,
               std::string aDatabase,
               unsigned aNumber,
               unsigned aSeed);

  /// Sends each kind of statement with fixed texts and with random ones.
  void Run(unsigned aRandomTexts);

  [[nodiscard]] const caller_log& Log() const noexcept { return mLog; }

private:
  struct outcome
  {
    std::vector<std::string> rows;
    std::string signature;
    /// Code and text; empty if the statement is done.
    std::string error;
    /// Whether the error promises that nothing was done.
    bool mayRetry = false;
  };

  [[nodiscard]] std::string RandomText();
  [[nodiscard]] std::string NextId();
  [[nodiscard]] bool Open();
  /// Sends a statement that is recorded as aRecorded, and reads the answer.
  [[nodiscard]] outcome Ask(const std::string& aId, const std::string& aText);
  /// Reads an answer. Opens a new session if this one has ended.
  [[nodiscard]] outcome ReadAnswer();
  /// The same with a new id after each answer that allows it. Checks the answer
  /// and returns whether the statement is done.
  bool Do(const std::string& aText, const std::string& aRecorded);
  void CheckRead(const std::string& aText);
  void CheckFailingRead(const std::string& aText);
  void CheckTransaction(const std::string& aText);
  void CheckText(const std::string& aText);
  void CheckLongest();
  void CheckTooLong();
  void CheckOrder();
  void CheckWithoutArguments();
  void Wrong(const std::string& aWhat, const std::string& aText);

  std::uint16_t mPort;
  std::string mDatabase;
  unsigned mNumber;
  std::mt19937 mRandom;
  unsigned mRequests = 0;
  std::unique_ptr<plain_connection> mConnection;
  caller_log mLog;
};

} // namespace currantshed::test::wire

#endif

#ifndef CURRANTSHED_TEST_MATRIX_CALLERS_HPP
#define CURRANTSHED_TEST_MATRIX_CALLERS_HPP

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "currantshed/gateway/caller.hpp"
#include "test/matrix/gateway_node.hpp"
#include "test/matrix/surroundings.hpp"

namespace currantshed::matrix {

/// One session that issues one request at a time, each at a randomly chosen
/// gateway: single and repeatable writes, two-row writes, transactions, reads
/// with its session token, bounded and fresh reads, and outcome queries for
/// writes whose outcome is unknown. Records every answer in the history.
class session_caller
{
public:
  session_caller(surroundings& aAround,
                 std::vector<gateway_node*> aGateways,
                 unsigned aNumber);

  /// Starts the session; it issues requests until the given time.
  void Start(instant aEnd);

private:
  /// Empty if no answer arrived.
  using received_answer = std::optional<gateway::caller_answer>;
  using next_step = std::function<void(const received_answer&)>;

  void Next();
  void Later();
  void Read(const std::string& aClass, bool aWithToken);
  void Write(const std::string& aClass, std::size_t aRows);
  void Transaction();
  void TransactionRow(std::size_t aChange,
                      const std::string& aTransaction,
                      std::size_t aRow);
  void Commit(std::size_t aChange, const std::string& aTransaction);
  void OnAnswer(std::size_t aChange,
                const gateway::caller_request& aRequest,
                const received_answer& aAnswer);
  void AskOutcome(std::size_t aChange, unsigned aTries);
  void Note(std::size_t aChange, const received_answer& aAnswer);
  [[nodiscard]] std::size_t Begin(std::size_t aRows);
  [[nodiscard]] std::string NewKey();
  [[nodiscard]] gateway::caller_request Request(
    gateway::call_kind aKind,
    const std::string& aClass) const;
  /// Sends a request through a randomly chosen running gateway and waits for
  /// its answer.
  void Call(const gateway::caller_request& aRequest, const next_step& aNext);

  surroundings& mAround;
  std::vector<gateway_node*> mGateways;
  unsigned mNumber;
  unsigned mCount = 0;
  std::uint64_t mCalls = 0;
  instant mEnd{ 0 };
  std::string mToken = "new";
};

} // namespace currantshed::matrix

#endif

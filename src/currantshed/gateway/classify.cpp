#include <algorithm>
#include <optional>

#include "currantshed/gateway/error.hpp"
#include "currantshed/gateway/exchange.hpp"
#include "currantshed/gateway/filter.hpp"
#include "currantshed/gateway/shared_state.hpp"

namespace currantshed::gateway {

namespace {

using fault = std::optional<gateway_error>;

/// Retry delay while the gateway has no configuration or view yet.
constexpr std::chrono::milliseconds kStartupRetryAfter{ 500 };

/// Retry delay for a request whose deadline is too short.
constexpr std::chrono::milliseconds kRetryAfter{ 100 };

group::operation
FirstOperation(const exchange& aExchange)
{
  switch (aExchange.request.kind) {
    case call_kind::kStatements:
      return aExchange.work->kind == policy::access::kWrite
               ? group::operation::kWrite
               : group::operation::kRead;
    case call_kind::kBegin:
      return group::operation::kBegin;
    case call_kind::kStatement:
      return group::operation::kStatement;
    case call_kind::kCommit:
      return group::operation::kCommit;
    case call_kind::kRollback:
      return group::operation::kRollback;
    case call_kind::kOutcome:
      break;
  }
  return group::operation::kResolve;
}

class classify final : public filter
{
public:
  explicit classify(shared_state& aState)
    : mState(aState)
  {
  }

  step Forward(exchange& aExchange, clock::time_point aNow) override
  {
    if (mState.configurationVersion == 0 || mState.view.live.empty()) {
      aExchange.answer = NotRun(outcome::reason::kUnreachable,
                                mState.AddJitter(kStartupRetryAfter));
      return step::kBack;
    }
    fault found = CheckStatements(aExchange.request);
    if (!found) {
      found = Find(aExchange);
    }
    if (found) {
      aExchange.answer = Refuse(*found);
      return step::kBack;
    }
    aExchange.next = FirstOperation(aExchange);
    SetDeadline(aExchange);
    if (aExchange.deadline - mState.settings.returnMargin <= aNow) {
      aExchange.answer =
        NotRun(outcome::reason::kDeadline, mState.AddJitter(kRetryAfter));
      return step::kBack;
    }
    return step::kForward;
  }

private:
  [[nodiscard]] fault CheckStatements(const caller_request& aRequest) const
  {
    const auto& limits = mState.settings;
    const bool needed = aRequest.kind == call_kind::kStatements ||
                        aRequest.kind == call_kind::kStatement;
    if (needed && aRequest.statements.empty()) {
      return gateway_error::kNoStatement;
    }
    if (aRequest.statements.size() > limits.statementLimit) {
      return gateway_error::kTooManyStatements;
    }
    for (const auto& statement : aRequest.statements) {
      if (statement.sql.empty()) {
        return gateway_error::kNoStatement;
      }
      if (statement.sql.size() > limits.statementBytes) {
        return gateway_error::kStatementTooLarge;
      }
      if (statement.parameters.size() > limits.parameterLimit) {
        return gateway_error::kTooManyParameters;
      }
    }
    return {};
  }

  /// Determines class, group and key according to the kind of call.
  [[nodiscard]] fault Find(exchange& aExchange) const
  {
    switch (aExchange.request.kind) {
      case call_kind::kStatements:
      case call_kind::kBegin:
        return FindClass(aExchange);
      case call_kind::kOutcome:
        return FindOutcome(aExchange);
      default:
        return FindTransaction(aExchange);
    }
  }

  [[nodiscard]] fault FindClass(exchange& aExchange) const
  {
    const caller_request& request = aExchange.request;
    aExchange.work = mState.Rule(request.workClass);
    if (aExchange.work == nullptr) {
      return gateway_error::kUnknownClass;
    }
    aExchange.group = request.group;
    if (!mState.HasGroup(request.group)) {
      return gateway_error::kUnknownGroup;
    }
    const auto& allowed = aExchange.work->groups;
    if (!allowed.empty() &&
        std::find(allowed.begin(), allowed.end(), request.group) ==
          allowed.end()) {
      return gateway_error::kGroupNotAllowed;
    }
    if (aExchange.work->kind == policy::access::kWrite) {
      return SetKey(aExchange);
    }
    if (request.kind == call_kind::kBegin) {
      return gateway_error::kReadOnlyClass;
    }
    return {};
  }

  /// Uses the caller's key, or the generated one if the caller sent none.
  [[nodiscard]] static fault SetKey(exchange& aExchange)
  {
    const caller_request& request = aExchange.request;
    if (request.key.empty()) {
      aExchange.key = request.generatedKey;
      return {};
    }
    const auto key = outcome::idempotency_key::Parse(request.key);
    if (!key) {
      return gateway_error::kMalformedKey;
    }
    aExchange.key = *key;
    return {};
  }

  [[nodiscard]] fault FindOutcome(exchange& aExchange) const
  {
    aExchange.group = aExchange.request.group;
    if (!mState.HasGroup(aExchange.group)) {
      return gateway_error::kUnknownGroup;
    }
    if (aExchange.request.key.empty()) {
      return gateway_error::kMalformedKey;
    }
    aExchange.work = MakeWritePlaceholder({}, aExchange.group);
    return SetKey(aExchange);
  }

  [[nodiscard]] fault FindTransaction(exchange& aExchange) const
  {
    const caller_request& request = aExchange.request;
    transaction_handle& name = aExchange.transaction;
    if (const auto error =
          ReadTransactionId(request.transaction, mState.keys, name)) {
      return FromTransactionError(error);
    }
    if (!request.key.empty()) {
      const auto key = outcome::idempotency_key::Parse(request.key);
      if (!key) {
        return gateway_error::kMalformedKey;
      }
      if (*key != name.key) {
        return gateway_error::kKeyMismatch;
      }
    }
    aExchange.group = name.group;
    aExchange.key = name.key;
    aExchange.work = mState.Rule(name.workClass);
    if (aExchange.work == nullptr) {
      // The operators have removed the class in the meantime; transactions that
      // it started may still end.
      aExchange.work = MakeWritePlaceholder(name.workClass, name.group);
    }
    return {};
  }

  /// Placeholder for the class of a change if that class is unknown: the
  /// outcome may be queried wherever some class may write to the group.
  [[nodiscard]] std::shared_ptr<const policy::work_class> MakeWritePlaceholder(
    const std::string& aName,
    const group::group_name& aGroup) const
  {
    auto made = std::make_shared<policy::work_class>();
    made->name = aName;
    made->kind = policy::access::kWrite;
    made->deadline = mState.settings.defaultDeadline;
    made->servedIn = mState.WriteDomains(aGroup);
    return made;
  }

  /// Sets the deadline of the class, or the caller's own if that is earlier.
  void SetDeadline(exchange& aExchange) const
  {
    auto allowed = aExchange.work->deadline;
    if (aExchange.request.deadline) {
      allowed = std::min(allowed, *aExchange.request.deadline);
    }
    aExchange.deadline = aExchange.arrived + allowed;
  }

  shared_state& mState;
};

} // namespace

std::unique_ptr<filter>
MakeClassify(shared_state& aState)
{
  return std::make_unique<classify>(aState);
}

} // namespace currantshed::gateway

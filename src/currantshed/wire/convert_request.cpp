#include "currantshed/wire/convert.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "currantshed/wire/errors.hpp"

namespace currantshed::wire::internal {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int kLastOperation = static_cast<int>(group::operation::kReconfirm);
constexpr std::uint32_t kLastVerdict =
  static_cast<std::uint32_t>(outcome::verdict::kRefused);
constexpr std::uint32_t kLastReason =
  static_cast<std::uint32_t>(outcome::reason::kUnreachable);

std::uint64_t
ToMicroseconds(clock::duration aSpan)
{
  const auto whole = duration_cast<microseconds>(aSpan).count();
  return whole < 0 ? 0 : static_cast<std::uint64_t>(whole);
}

microseconds
FromMicroseconds(std::uint64_t aCount)
{
  const auto longest = duration_cast<microseconds>(kMaxTimeout).count();
  return microseconds(std::min(aCount, static_cast<std::uint64_t>(longest)));
}

void
ToProto(const position::log_position& aFrom, Position& aTo)
{
  aTo.set_term(aFrom.term);
  aTo.set_index(aFrom.index);
}

position::log_position
FieldFromProto(const Position& aFrom)
{
  return { aFrom.term(), aFrom.index() };
}

void
ToProto(const upstream::cell& aFrom, Cell& aTo)
{
  if (aFrom) {
    aTo.set_text(*aFrom);
  }
}

upstream::cell
FieldFromProto(Cell& aFrom)
{
  if (!aFrom.has_text()) {
    return std::nullopt;
  }
  return std::move(*aFrom.mutable_text());
}

void
ToProto(const policy::work_class& aFrom, WorkClass& aTo)
{
  aTo.set_name(aFrom.name);
  aTo.set_access(aFrom.kind == policy::access::kWrite ? ACCESS_WRITE
                                                      : ACCESS_READ);
  for (const auto& failureDomain : aFrom.servedIn) {
    aTo.add_served_in(failureDomain);
  }
  aTo.set_max_staleness_us(ToMicroseconds(aFrom.maxStaleness));
  aTo.set_repeatable(aFrom.repeatable);
}

void
FromProto(WorkClass& aFrom, policy::work_class& aTo)
{
  aTo.name = std::move(*aFrom.mutable_name());
  aTo.kind = aFrom.access() == ACCESS_WRITE ? policy::access::kWrite
                                            : policy::access::kRead;
  for (auto& failureDomain : *aFrom.mutable_served_in()) {
    aTo.servedIn.push_back(std::move(failureDomain));
  }
  aTo.maxStaleness =
    duration_cast<milliseconds>(FromMicroseconds(aFrom.max_staleness_us()));
  aTo.repeatable = aFrom.repeatable();
}

void
ToProto(const upstream::statement& aFrom, Statement& aTo)
{
  aTo.set_sql(aFrom.sql);
  for (const auto& parameter : aFrom.parameters) {
    ToProto(parameter, *aTo.add_parameters());
  }
}

std::error_code
StatementsFromProto(GroupRequest& aFrom, std::vector<upstream::statement>& aTo)
{
  if (aFrom.statements_size() > kMaxStatements) {
    return wire_errc::kTooLarge;
  }
  aTo.reserve(static_cast<std::size_t>(aFrom.statements_size()));
  for (auto& item : *aFrom.mutable_statements()) {
    if (item.parameters_size() > kMaxParameters) {
      return wire_errc::kTooLarge;
    }
    upstream::statement& statement = aTo.emplace_back();
    statement.sql = std::move(*item.mutable_sql());
    for (auto& parameter : *item.mutable_parameters()) {
      statement.parameters.push_back(FieldFromProto(parameter));
    }
  }
  return {};
}

std::error_code
KeyFromProto(const std::string& aBytes, outcome::idempotency_key& aTo)
{
  if (aBytes.empty()) {
    return {};
  }
  const auto key = outcome::idempotency_key::FromBytes(aBytes);
  if (!key) {
    return wire_errc::kInvalidKey;
  }
  aTo = *key;
  return {};
}

std::string
KeyToBytes(const outcome::idempotency_key& aKey)
{
  const auto& bytes = aKey.Bytes();
  return { bytes.begin(), bytes.end() };
}

void
ToProto(const upstream::result_set& aFrom, ResultSet& aTo)
{
  for (const auto& column : aFrom.columns) {
    aTo.add_columns(column);
  }
  aTo.mutable_cells()->Reserve(static_cast<int>(aFrom.cells.size()));
  for (const auto& cell : aFrom.cells) {
    ToProto(cell, *aTo.add_cells());
  }
  aTo.set_affected(aFrom.affected);
}

void
FromProto(ResultSet& aFrom, upstream::result_set& aTo)
{
  for (auto& column : *aFrom.mutable_columns()) {
    aTo.columns.push_back(std::move(column));
  }
  aTo.cells.reserve(static_cast<std::size_t>(aFrom.cells_size()));
  for (auto& cell : *aFrom.mutable_cells()) {
    aTo.cells.push_back(FieldFromProto(cell));
  }
  aTo.affected = aFrom.affected();
}

bool
HasWholeRows(const ResultSet& aSet)
{
  if (aSet.columns_size() == 0) {
    return aSet.cells_size() == 0;
  }
  return aSet.cells_size() % aSet.columns_size() == 0;
}

} // namespace

void
ToProto(const group_request& aFrom, clock::time_point aNow, GroupRequest& aTo)
{
  const group::request& request = aFrom.request;
  aTo.set_id(request.id);
  aTo.set_group(aFrom.group);
  aTo.set_operation(static_cast<Operation>(request.kind));
  ToProto(request.work, *aTo.mutable_work());
  for (const auto& statement : request.statements) {
    ToProto(statement, *aTo.add_statements());
  }
  if (request.key != outcome::idempotency_key()) {
    aTo.set_key(KeyToBytes(request.key));
  }
  ToProto(request.floor, *aTo.mutable_floor());
  aTo.set_fresh(request.fresh);
  aTo.set_budget_us(ToMicroseconds(request.deadline - aNow));
  aTo.set_transaction(request.transaction);
  ToProto(request.position, *aTo.mutable_position());
  aTo.set_transaction_incarnation(aFrom.transactionIncarnation);
}

std::error_code
FromProto(GroupRequest& aFrom, clock::time_point aNow, group_request& aTo)
{
  const int kind = static_cast<int>(aFrom.operation());
  if (kind < 0 || kind > kLastOperation) {
    return wire_errc::kOutOfRange;
  }
  group::request& request = aTo.request;
  aTo.group = std::move(*aFrom.mutable_group());
  request.id = aFrom.id();
  request.kind = static_cast<group::operation>(kind);
  FromProto(*aFrom.mutable_work(), request.work);
  if (const auto error = StatementsFromProto(aFrom, request.statements)) {
    return error;
  }
  if (const auto error = KeyFromProto(aFrom.key(), request.key)) {
    return error;
  }
  request.floor = FieldFromProto(aFrom.floor());
  request.fresh = aFrom.fresh();
  request.deadline = aNow + FromMicroseconds(aFrom.budget_us());
  request.transaction = aFrom.transaction();
  request.position = FieldFromProto(aFrom.position());
  aTo.transactionIncarnation =
    std::move(*aFrom.mutable_transaction_incarnation());
  return {};
}

void
ToProto(const group_answer& aFrom, GroupAnswer& aTo)
{
  const group::answer& answer = aFrom.answer;
  aTo.set_id(answer.request);
  aTo.set_verdict(static_cast<std::uint32_t>(answer.verdict));
  aTo.set_reason(static_cast<std::uint32_t>(answer.why));
  aTo.set_retry_after_us(ToMicroseconds(answer.retryAfter));
  for (const auto& set : answer.results) {
    ToProto(set, *aTo.add_results());
  }
  ToProto(answer.position, *aTo.mutable_position());
  aTo.set_transaction(answer.transaction);
  aTo.set_served_by(answer.servedBy);
  aTo.set_failure_domain(answer.failureDomain);
  aTo.set_by_replica(answer.byReplica);
  aTo.set_repeated_key(answer.repeated);
  aTo.set_sql_state(answer.sqlState);
  aTo.set_message(answer.message);
  aTo.set_incarnation(aFrom.incarnation);
}

std::error_code
FromProto(GroupAnswer& aFrom, group_answer& aTo)
{
  if (aFrom.verdict() > kLastVerdict || aFrom.reason() > kLastReason) {
    return wire_errc::kOutOfRange;
  }
  group::answer& answer = aTo.answer;
  answer.request = aFrom.id();
  answer.verdict = static_cast<outcome::verdict>(aFrom.verdict());
  answer.why = static_cast<outcome::reason>(aFrom.reason());
  answer.retryAfter =
    duration_cast<milliseconds>(FromMicroseconds(aFrom.retry_after_us()));
  for (auto& set : *aFrom.mutable_results()) {
    if (!HasWholeRows(set)) {
      return wire_errc::kMalformed;
    }
    FromProto(set, answer.results.emplace_back());
  }
  answer.position = FieldFromProto(aFrom.position());
  answer.transaction = aFrom.transaction();
  answer.servedBy = std::move(*aFrom.mutable_served_by());
  answer.failureDomain = std::move(*aFrom.mutable_failure_domain());
  answer.byReplica = aFrom.by_replica();
  answer.repeated = aFrom.repeated_key();
  answer.sqlState = std::move(*aFrom.mutable_sql_state());
  answer.message = std::move(*aFrom.mutable_message());
  aTo.incarnation = std::move(*aFrom.mutable_incarnation());
  return {};
}

} // namespace currantshed::wire::internal

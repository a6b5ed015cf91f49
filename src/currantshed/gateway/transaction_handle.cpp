#include "currantshed/gateway/transaction_handle.hpp"

#include <charconv>
#include <vector>

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include "currantshed/session/error.hpp"
#include "currantshed/session/key_ring.hpp"

namespace currantshed::gateway {

namespace {

/// Separates the fields of an id; no name contains it.
constexpr char kSeparator = '\0';

enum field : std::size_t
{
  kVm,
  kIncarnation,
  kNumber,
  kClass,
  kGroup,
  kKey,
  kFields,
};

bool
ReadNumber(const std::string& aText, group::transaction_id& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, aNumber);
  return read.ec == std::errc{} && read.ptr == end;
}

} // namespace

std::string
MakeTransactionId(const transaction_handle& aName,
                  const session::key_ring& aKeys)
{
  const std::vector<std::string> fields{
    aName.vm,        aName.incarnation, std::to_string(aName.number),
    aName.workClass, aName.group,       aName.key.Text()
  };
  const std::string separator(1, kSeparator);
  return aKeys.Sign(session::token_purpose::kTransaction,
                    absl::StrJoin(fields, separator));
}

std::error_code
ReadTransactionId(std::string_view aId,
                  const session::key_ring& aKeys,
                  transaction_handle& aName)
{
  std::string content;
  if (const auto error =
        aKeys.Verify(session::token_purpose::kTransaction, aId, content)) {
    return error;
  }
  const std::vector<std::string> fields = absl::StrSplit(content, kSeparator);
  transaction_handle name;
  if (fields.size() != kFields || !ReadNumber(fields[kNumber], name.number)) {
    return session::session_error::kMalformed;
  }
  const auto key = outcome::idempotency_key::Parse(fields[kKey]);
  if (!key) {
    return session::session_error::kMalformed;
  }
  name.vm = fields[kVm];
  name.incarnation = fields[kIncarnation];
  name.workClass = fields[kClass];
  name.group = fields[kGroup];
  name.key = *key;
  aName = name;
  return {};
}

} // namespace currantshed::gateway

#include "standin/upstream/log.hpp"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed::standin::postgres;

namespace {

record_log
MakeLog(const std::vector<term_id>& aTerms)
{
  record_log log;
  for (const auto term : aTerms) {
    log.Append({ term, 0, {} });
  }
  return log;
}

struct prefix_row
{
  const char* name;
  std::vector<term_id> one;
  std::vector<term_id> other;
  log_index common;
};

const prefix_row kPrefixes[] = {
  { "both empty", {}, {}, 0 },
  { "one empty", { 1, 1 }, {}, 0 },
  { "equal", { 1, 1, 2 }, { 1, 1, 2 }, 3 },
  { "one behind", { 1, 1, 2 }, { 1 }, 1 },
  { "old primary went on", { 1, 1, 1, 1 }, { 1, 1, 2 }, 2 },
  { "old primary went on far", { 1, 1, 1, 1, 1 }, { 1, 2 }, 1 },
  { "parted twice", { 1, 1, 2, 2 }, { 1, 1, 3, 3, 3 }, 2 },
  { "parted in different lengths", { 1, 1, 1, 2 }, { 1, 3, 3, 3 }, 1 },
  { "nothing shared", { 1, 1 }, { 2, 2, 2 }, 0 },
};

} // namespace

TEST_GROUP(record_log){};

TEST(record_log, common_prefix)
{
  for (const auto& row : kPrefixes) {
    const auto one = MakeLog(row.one);
    const auto other = MakeLog(row.other);
    CHECK_EQUAL_TEXT(
      row.common, CommonPrefix(one.Summary(), other.Summary()), row.name);
    CHECK_EQUAL_TEXT(
      row.common, CommonPrefix(other.Summary(), one.Summary()), row.name);
  }
}

TEST(record_log, truncation_drops_terms)
{
  auto log = MakeLog({ 1, 1, 2, 3 });
  log.Truncate(2);
  CHECK((log.Last() == log_position{ 1, 2 }));
  CHECK_EQUAL(1U, log.Summary().runs.size());
  log.Append({ 4, 0, {} });
  CHECK((log.Last() == log_position{ 4, 3 }));
  CHECK((log.PositionAt(2) == log_position{ 1, 2 }));
}

TEST(record_log, record_bytes)
{
  const log_record record{ 7, 99, { { "INSERT", { "a", std::nullopt, "" } } } };
  std::string bytes;
  EncodeRecord(record, bytes);
  const auto read = DecodeRecord(bytes);
  CHECK(read.has_value());
  CHECK_EQUAL(7U, read->term);
  CHECK_EQUAL(99U, read->beganMs);
  CHECK_EQUAL(1U, read->statements.size());
  CHECK(read->statements.front().parameters ==
        record.statements.front().parameters);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeRecord(bytes.substr(0, size)).has_value());
  }
}

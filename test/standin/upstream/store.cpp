#include "standin/upstream/store.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed::standin::postgres;
using namespace std::chrono_literals;

namespace {

const currantshed::clock::time_point kNow{ 1h };

struct quiet_listener final : public store_listener
{
  void Appended() override {}
  void TermsChanged() override {}
};

struct counting_owner final : public write_owner
{
  void Revoked() override { ++revoked; }

  int revoked = 0;
};

// The components of one server, without its journal file.
struct node
{
  durable_state state;
  journal file{ "", state };
  quiet_listener listener;
  store data{ std::move(state), file, listener };
};

const std::vector<std::string> kSchema = {
  "CREATE TABLE t (k TEXT PRIMARY KEY, v INTEGER)"
};

bool
Ignore(const row_view& /*aRow*/)
{
  return true;
}

std::string
Ask(database& aData, const std::string& aSql)
{
  std::string text;
  std::uint64_t affected = 0;
  const auto error = aData.Run(
    aSql,
    {},
    [&text](const row_view& aRow) {
      text += std::string(aRow.Cell(0).value_or("-")) + ' ';
      return true;
    },
    affected);
  return error ? error->state : text;
}

sql_outcome
Insert(store& aStore, const std::string& aKey)
{
  std::uint64_t affected = 0;
  return aStore.Write(
    { "INSERT INTO t VALUES ($1, 1)", { aKey } }, Ignore, affected);
}

void
CommitOne(store& aStore, const std::string& aKey)
{
  counting_owner owner;
  CHECK_FALSE(aStore.BeginWrite(owner, 0).has_value());
  CHECK_FALSE(Insert(aStore, aKey).has_value());
  aStore.CommitWrite();
}

// Copies the records from primary to replica, in place of the replication
// connection.
void
Replicate(store& aFrom, store& aTo)
{
  const auto common = CommonPrefix(aFrom.Log().Summary(), aTo.Log().Summary());
  aTo.Align(common);
  for (auto index = common + 1; index <= aFrom.Log().Last().index; ++index) {
    CHECK_TRUE(aTo.Store(aFrom.Terms().Term(), aFrom.Log().At(index), kNow));
  }
  static_cast<void>(aTo.Apply(kNow, 0s));
}

constexpr const char* kKeys = "SELECT k FROM t ORDER BY k";
const primary_address kSomeone{ "127.0.0.2", 5432 };

} // namespace

TEST_GROUP(store)
{
  node one;
  node two;

  void setup() override
  {
    one.data.StartAsFirstPrimary(kSchema);
    CHECK_FALSE(two.data.Follow(1, kSomeone, kNow).has_value());
  }
};

TEST(store, changes_show_once_committed)
{
  counting_owner owner;
  CHECK_FALSE(one.data.BeginWrite(owner, 0).has_value());
  CHECK_FALSE(Insert(one.data, "a").has_value());
  STRCMP_EQUAL("", Ask(one.data.Committed(), kKeys).c_str());
  STRCMP_EQUAL("a ", Ask(one.data.Working(), kKeys).c_str());
  one.data.CommitWrite();
  STRCMP_EQUAL("a ", Ask(one.data.Committed(), kKeys).c_str());
  CHECK((one.data.Status(kNow).applied == log_position{ 1, 2 }));
}

TEST(store, a_rolled_back_change_leaves_no_record)
{
  counting_owner owner;
  CHECK_FALSE(one.data.BeginWrite(owner, 0).has_value());
  CHECK_FALSE(Insert(one.data, "a").has_value());
  one.data.RollbackWrite();
  STRCMP_EQUAL("", Ask(one.data.Working(), kKeys).c_str());
  CHECK((one.data.Status(kNow).stored == log_position{ 1, 1 }));
}

TEST(store, a_unique_key_decides)
{
  CommitOne(one.data, "a");
  counting_owner owner;
  CHECK_FALSE(one.data.BeginWrite(owner, 0).has_value());
  const auto error = Insert(one.data, "a");
  CHECK(error.has_value());
  STRCMP_EQUAL("23505", error->state.c_str());
  one.data.RollbackWrite();
}

TEST(store, a_fence_revokes_the_open_transaction)
{
  counting_owner owner;
  CHECK_FALSE(one.data.BeginWrite(owner, 0).has_value());
  CHECK_FALSE(Insert(one.data, "a").has_value());
  CHECK_FALSE(one.data.Fence(2).has_value());
  CHECK_EQUAL(1, owner.revoked);
  CHECK((one.data.Status(kNow).stored == log_position{ 1, 1 }));
  const auto error = one.data.BeginWrite(owner, 0);
  CHECK(error.has_value());
  STRCMP_EQUAL("25006", error->state.c_str());
}

TEST(store, a_replica_applies_after_its_lag)
{
  Replicate(one.data, two.data);
  CommitOne(one.data, "a");
  CHECK_TRUE(two.data.Store(1, one.data.Log().At(2), kNow));
  CHECK(two.data.Apply(kNow, 5s) == kNow + 5s);
  CHECK((two.data.Status(kNow).stored == log_position{ 1, 2 }));
  CHECK((two.data.Status(kNow).applied == log_position{ 1, 1 }));
  STRCMP_EQUAL("", Ask(two.data.Committed(), kKeys).c_str());
  CHECK_FALSE(two.data.Apply(kNow + 5s, 5s).has_value());
  STRCMP_EQUAL("a ", Ask(two.data.Committed(), kKeys).c_str());
}

TEST(store, a_fenced_replica_takes_no_records_of_a_lower_term)
{
  Replicate(one.data, two.data);
  CHECK_FALSE(two.data.Fence(2).has_value());
  CommitOne(one.data, "a");
  CHECK_FALSE(two.data.Store(1, one.data.Log().At(2), kNow));
  CHECK((two.data.Status(kNow).stored == log_position{ 1, 1 }));
}

TEST(store, promotion_applies_all_and_opens_the_term)
{
  Replicate(one.data, two.data);
  CommitOne(one.data, "a");
  CHECK_TRUE(two.data.Store(1, one.data.Log().At(2), kNow));
  CHECK_FALSE(two.data.Fence(2).has_value());
  CHECK_FALSE(two.data.Promote(2).has_value());
  const auto status = two.data.Status(kNow);
  CHECK((status.stored == log_position{ 2, 3 }));
  CHECK((status.applied == log_position{ 2, 3 }));
  CHECK(status.role == server_role::kPrimary);
  STRCMP_EQUAL("a ", Ask(two.data.Committed(), kKeys).c_str());
}

TEST(store, an_old_primary_drops_what_the_new_history_lacks)
{
  Replicate(one.data, two.data);
  CommitOne(one.data, "lost");
  CHECK_FALSE(two.data.Fence(2).has_value());
  CHECK_FALSE(two.data.Promote(2).has_value());
  CommitOne(two.data, "kept");
  CHECK_FALSE(one.data.Follow(2, kSomeone, kNow).has_value());
  Replicate(two.data, one.data);
  STRCMP_EQUAL("kept ", Ask(one.data.Committed(), kKeys).c_str());
  CHECK((one.data.Status(kNow).stored == two.data.Status(kNow).stored));
  CHECK((one.data.Status(kNow).applied == two.data.Status(kNow).applied));
}

TEST(store, terms_of_refusals)
{
  CHECK_FALSE(two.data.Fence(3).has_value());
  STRCMP_EQUAL("CS001", two.data.Fence(2)->state.c_str());
  STRCMP_EQUAL("CS001", two.data.Promote(2)->state.c_str());
  STRCMP_EQUAL("CS001", two.data.Follow(2, kSomeone, kNow)->state.c_str());
}

TEST(store, silence_of_the_primary)
{
  two.data.HeardFromPrimary(kNow);
  CHECK(two.data.Status(kNow + 70ms).sincePrimary == 70ms);
  CHECK_FALSE(one.data.Status(kNow).sincePrimary.has_value());
  CHECK_FALSE(two.data.Fence(2).has_value());
  CHECK_FALSE(two.data.Status(kNow).sincePrimary.has_value());
}

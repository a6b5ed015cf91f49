#include "standin/upstream/database.hpp"

#include <cstdlib>
#include <ctime>
#include <iostream>
#include <utility>

#include <absl/strings/str_cat.h>

#include "standin/upstream/sql_text.hpp"

namespace currantshed::standin::postgres {

namespace {

constexpr std::size_t kCacheLimit = 1000;
constexpr std::uint64_t kMillisecondsPerSecond = 1000;

// Exits the process after a failure of the stand-in itself, such as out of
// memory or a replay whose result differs: its data can't be served.
[[noreturn]] void
Die(std::string_view aWhat)
{
  std::cerr << "database: " << aWhat << '\n';
  std::exit(EXIT_FAILURE);
}

bool
DiffersOnReplay(std::string_view aFunction)
{
  return aFunction == "random" || aFunction == "randomblob" ||
         aFunction == "load_extension";
}

void
GiveTime(sqlite3_context* aContext, int /*aCount*/, sqlite3_value** /*aValues*/)
{
  const auto* self = static_cast<const database*>(sqlite3_user_data(aContext));
  const auto seconds =
    static_cast<std::time_t>(self->Time() / kMillisecondsPerSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[sizeof("0000-00-00 00:00:00")];
  const auto size =
    std::strftime(static_cast<char*>(text), sizeof(text), "%F %T", &parts);
  sqlite3_result_text(aContext,
                      static_cast<const char*>(text),
                      static_cast<int>(size),
                      SQLITE_TRANSIENT);
}

bool
ChangesSchema(const std::string& aSql)
{
  const auto word = FirstWord(aSql);
  return word == "CREATE" || word == "ALTER" || word == "DROP";
}

} // namespace

void
database::closer::operator()(sqlite3* aHandle) const noexcept
{
  sqlite3_close_v2(aHandle);
}

database::database()
{
  sqlite3* handle = nullptr;
  const int flags =
    SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
  if (sqlite3_open_v2(":memory:", &handle, flags, nullptr) != SQLITE_OK) {
    Die("can't open the in-memory database");
  }
  mHandle.reset(handle);
  sqlite3_extended_result_codes(handle, 1);
  sqlite3_set_authorizer(handle, &database::Authorize, this);
  for (const char* name : { "now", "current_timestamp" }) {
    sqlite3_create_function(
      handle, name, 0, SQLITE_UTF8, this, GiveTime, nullptr, nullptr);
  }
  Execute("PRAGMA foreign_keys = ON");
}

database::~database() = default;

int
database::Authorize(void* aSelf,
                    int aAction,
                    const char* /*aFirst*/,
                    const char* aSecond,
                    const char* /*aDatabase*/,
                    const char* /*aTrigger*/)
{
  if (static_cast<const database*>(aSelf)->mInternal) {
    return SQLITE_OK;
  }
  switch (aAction) {
    case SQLITE_ATTACH:
    case SQLITE_DETACH:
    case SQLITE_PRAGMA:
    case SQLITE_TRANSACTION:
    case SQLITE_SAVEPOINT:
      return SQLITE_DENY;
    case SQLITE_FUNCTION:
      return DiffersOnReplay(aSecond) ? SQLITE_DENY : SQLITE_OK;
    default:
      return SQLITE_OK;
  }
}

void
database::Execute(const char* aSql)
{
  mInternal = true;
  char* text = nullptr;
  if (sqlite3_exec(mHandle.get(), aSql, nullptr, nullptr, &text) != SQLITE_OK) {
    Die(absl::StrCat(aSql, ": ", text == nullptr ? "" : text));
  }
  mInternal = false;
}

sql_outcome
database::Prepare(const std::string& aSql, prepared_statement*& aPrepared)
{
  if (const auto found = mCache.find(aSql); found != mCache.end()) {
    aPrepared = found->second.get();
    return std::nullopt;
  }
  auto made = std::make_unique<prepared_statement>();
  if (auto error = made->Prepare(mHandle.get(), aSql)) {
    return error;
  }
  if (mCache.size() >= kCacheLimit) {
    mCache.clear();
  }
  aPrepared = mCache.emplace(aSql, std::move(made)).first->second.get();
  return std::nullopt;
}

sql_outcome
database::Describe(const std::string& aSql, const statement_shape*& aShape)
{
  prepared_statement* found = nullptr;
  if (auto error = Prepare(aSql, found)) {
    return error;
  }
  aShape = &found->Shape();
  return std::nullopt;
}

sql_outcome
database::Run(const std::string& aSql,
              const std::vector<cell>& aParameters,
              row_sink aSink,
              std::uint64_t& aAffected)
{
  prepared_statement* found = nullptr;
  if (auto error = Prepare(aSql, found)) {
    return error;
  }
  const auto before = sqlite3_total_changes64(mHandle.get());
  auto outcome = found->Run(aParameters, aSink);
  if (!outcome && sqlite3_total_changes64(mHandle.get()) != before) {
    aAffected += static_cast<std::uint64_t>(sqlite3_changes64(mHandle.get()));
  }
  if (found->Shape().changesData && ChangesSchema(aSql)) {
    // A schema change may alter the shapes of cached statements.
    mCache.clear();
  }
  return outcome;
}

void
database::Begin()
{
  Execute("BEGIN IMMEDIATE");
}

void
database::Commit()
{
  Execute("COMMIT");
}

void
database::Rollback()
{
  if (InTransaction()) {
    Execute("ROLLBACK");
  }
  mCache.clear();
}

bool
database::InTransaction() const noexcept
{
  return sqlite3_get_autocommit(mHandle.get()) == 0;
}

void
database::CopyFrom(database& aOther)
{
  mCache.clear();
  auto* backup =
    sqlite3_backup_init(mHandle.get(), "main", aOther.mHandle.get(), "main");
  if (backup == nullptr) {
    Die("can't copy the database");
  }
  const int state = sqlite3_backup_step(backup, -1);
  if (sqlite3_backup_finish(backup) != SQLITE_OK || state != SQLITE_DONE) {
    Die("can't copy the database");
  }
}

void
database::SetTime(std::uint64_t aUnixMs) noexcept
{
  mUnixMs = aUnixMs;
}

std::uint64_t
database::Time() const noexcept
{
  return mUnixMs;
}

} // namespace currantshed::standin::postgres

#include "standin/upstream/database.hpp"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "standin/upstream/sql_text.hpp"

namespace currantshed::standin::postgres {

namespace {

constexpr std::size_t kCacheLimit = 1000;
constexpr std::uint64_t kMillisecondsPerSecond = 1000;

struct finalizer
{
  void operator()(sqlite3_stmt* aStatement) const noexcept
  {
    sqlite3_finalize(aStatement);
  }
};

// A failure of the stand-in itself, such as no memory, or a replay that
// differs: there is nothing left to serve.
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

// The place of a parameter among those bound: $2 is the second, wherever it
// stands.
std::size_t
ParameterNumber(sqlite3_stmt* aStatement, int aIndex)
{
  const char* name = sqlite3_bind_parameter_name(aStatement, aIndex);
  std::size_t number = 0;
  if (name == nullptr || !absl::SimpleAtoi(name + 1, &number)) {
    return static_cast<std::size_t>(aIndex);
  }
  return number;
}

bool
ChangesSchema(const std::string& aSql)
{
  const auto word = FirstWord(aSql);
  return word == "CREATE" || word == "ALTER" || word == "DROP";
}

} // namespace

struct database::prepared
{
  std::unique_ptr<sqlite3_stmt, finalizer> handle;
  statement_shape shape;
  std::vector<std::size_t> numbers;
};

row_view::row_view(sqlite3_stmt* aStatement) noexcept
  : mStatement(aStatement)
{
}

int
row_view::size() const noexcept
{
  return sqlite3_column_count(mStatement);
}

std::optional<std::string_view>
row_view::Cell(int aColumn) const
{
  const auto* text = sqlite3_column_text(mStatement, aColumn);
  if (text == nullptr) {
    return std::nullopt;
  }
  return std::string_view(
    reinterpret_cast<const char*>(text),
    static_cast<std::size_t>(sqlite3_column_bytes(mStatement, aColumn)));
}

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
    Die("can't open");
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
database::Prepare(const std::string& aSql, prepared*& aPrepared)
{
  if (const auto found = mCache.find(aSql); found != mCache.end()) {
    aPrepared = found->second.get();
    return std::nullopt;
  }
  sqlite3_stmt* handle = nullptr;
  const char* rest = nullptr;
  const int size = static_cast<int>(aSql.size());
  if (sqlite3_prepare_v3(mHandle.get(),
                         aSql.data(),
                         size,
                         SQLITE_PREPARE_PERSISTENT,
                         &handle,
                         &rest) != SQLITE_OK) {
    return LastError(mHandle.get());
  }
  auto made = std::make_unique<prepared>();
  made->handle.reset(handle);
  if (handle == nullptr || !FirstWord(rest).empty()) {
    return sql_error{ "42601", "one statement at a time" };
  }
  for (int index = 0; index < sqlite3_column_count(handle); ++index) {
    made->shape.columns.emplace_back(sqlite3_column_name(handle, index));
  }
  made->shape.changesData = sqlite3_stmt_readonly(handle) == 0;
  for (int index = 1; index <= sqlite3_bind_parameter_count(handle); ++index) {
    const auto number = ParameterNumber(handle, index);
    made->numbers.push_back(number);
    made->shape.parameters = std::max(made->shape.parameters, number);
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
  prepared* found = nullptr;
  if (auto error = Prepare(aSql, found)) {
    return error;
  }
  aShape = &found->shape;
  return std::nullopt;
}

sql_outcome
database::Bind(const prepared& aPrepared, const std::vector<cell>& aParameters)
{
  int index = 0;
  for (const auto number : aPrepared.numbers) {
    ++index;
    if (number == 0 || number > aParameters.size()) {
      return sql_error{ "08P01", "too few parameters" };
    }
    const auto& value = aParameters[number - 1];
    if (!value) {
      sqlite3_bind_null(aPrepared.handle.get(), index);
      continue;
    }
    sqlite3_bind_text(aPrepared.handle.get(),
                      index,
                      value->data(),
                      static_cast<int>(value->size()),
                      SQLITE_STATIC);
  }
  return std::nullopt;
}

sql_outcome
database::Step(const prepared& aPrepared, row_sink aSink)
{
  auto* handle = aPrepared.handle.get();
  while (true) {
    const int state = sqlite3_step(handle);
    if (state == SQLITE_DONE) {
      return std::nullopt;
    }
    if (state != SQLITE_ROW) {
      return LastError(mHandle.get());
    }
    if (!aSink(row_view(handle))) {
      return sql_error{ "54000", "the result is too large" };
    }
  }
}

sql_outcome
database::Run(const std::string& aSql,
              const std::vector<cell>& aParameters,
              row_sink aSink,
              std::uint64_t& aAffected)
{
  prepared* found = nullptr;
  if (auto error = Prepare(aSql, found)) {
    return error;
  }
  const auto before = sqlite3_total_changes64(mHandle.get());
  auto outcome = Bind(*found, aParameters);
  if (!outcome) {
    outcome = Step(*found, aSink);
  }
  sqlite3_reset(found->handle.get());
  if (!outcome && sqlite3_total_changes64(mHandle.get()) != before) {
    aAffected += static_cast<std::uint64_t>(sqlite3_changes64(mHandle.get()));
  }
  if (found->shape.changesData && ChangesSchema(aSql)) {
    // Shapes may have changed.
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
    Die("can't copy");
  }
  const int state = sqlite3_backup_step(backup, -1);
  if (sqlite3_backup_finish(backup) != SQLITE_OK || state != SQLITE_DONE) {
    Die("can't copy");
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

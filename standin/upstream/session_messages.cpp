#include "standin/upstream/session.hpp"

#include <utility>

#include "standin/upstream/responses.hpp"
#include "standin/upstream/sql_text.hpp"

namespace currantshed::standin::postgres {

namespace {

constexpr std::size_t kStatementLimit = 1000;

sql_error
Malformed()
{
  return { "08P01", "malformed message" };
}

} // namespace

void
session::Handle(const message& aMessage)
{
  message_reader reader(aMessage.body);
  if (mSkipping && aMessage.type != 'S' && aMessage.type != 'X') {
    return;
  }
  switch (aMessage.type) {
    case 'P':
      HandleParse(reader);
      break;
    case 'B':
      HandleBind(reader);
      break;
    case 'D':
      HandleDescribe(reader);
      break;
    case 'E':
      mSteps.push_back({ false, false, std::move(mPortal) });
      mPortal = {};
      break;
    case 'C':
      HandleClose(reader);
      break;
    case 'S':
      mSteps.push_back({ true, false, {} });
      break;
    case 'Q':
      HandleQuery(reader);
      break;
    case 'H':
      Flush();
      break;
    case 'X':
      Close();
      break;
    default:
      Refuse(Malformed());
  }
}

const std::string*
session::FindStatement(std::string_view aName)
{
  const auto found = mStatements.find(std::string(aName));
  return found == mStatements.end() ? nullptr : &found->second;
}

void
session::HandleParse(message_reader& aReader)
{
  const auto name = aReader.Text();
  const auto sql = aReader.Text();
  if (aReader.Failed() || mStatements.size() > kStatementLimit) {
    Refuse(Malformed());
    return;
  }
  mStatements[std::string(name)] = std::string(sql);
  PutEmpty('1', mOutput);
}

void
session::HandleBind(message_reader& aReader)
{
  static_cast<void>(aReader.Text());
  const auto* sql = FindStatement(aReader.Text());
  bool binary = false;
  const auto formats = aReader.Int16();
  for (int index = 0; index < formats && !aReader.Failed(); ++index) {
    binary |= aReader.Int16() != 0;
  }
  mPortal.parameters.clear();
  const auto parameters = aReader.Int16();
  for (int index = 0; index < parameters && !aReader.Failed(); ++index) {
    mPortal.parameters.push_back(aReader.Cell());
  }
  const auto results = aReader.Int16();
  for (int index = 0; index < results && !aReader.Failed(); ++index) {
    binary |= aReader.Int16() != 0;
  }
  if (aReader.Failed()) {
    Refuse(Malformed());
  } else if (sql == nullptr) {
    Refuse({ "26000", "no such prepared statement" });
  } else if (binary) {
    Refuse({ "0A000", "binary format is not supported" });
  } else {
    mPortal.sql = *sql;
    PutEmpty('2', mOutput);
  }
}

void
session::HandleDescribe(message_reader& aReader)
{
  const bool portal = aReader.Byte() == 'P';
  const auto* sql = portal ? &mPortal.sql : FindStatement(aReader.Text());
  if (sql == nullptr) {
    Refuse({ "26000", "no such prepared statement" });
    return;
  }
  if (const auto error = mRunner.Describe(*sql, !portal, mOutput)) {
    Refuse(*error);
  }
}

void
session::HandleClose(message_reader& aReader)
{
  if (aReader.Byte() == 'S') {
    mStatements.erase(std::string(aReader.Text()));
  }
  PutEmpty('3', mOutput);
}

void
session::HandleQuery(message_reader& aReader)
{
  const auto statements = SplitStatements(aReader.Text());
  for (const auto& sql : statements) {
    mSteps.push_back({ false, true, { sql, {} } });
  }
  if (statements.empty()) {
    PutEmpty('I', mOutput);
  }
  mSteps.push_back({ true, false, {} });
}

} // namespace currantshed::standin::postgres

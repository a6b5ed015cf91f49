#include "test/wire/plain_caller.hpp"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <thread>
#include <utility>

namespace currantshed::test::wire {

namespace {

// Limit of the protocol for a message, in bytes.
constexpr std::size_t kMaxMessage = std::size_t{ 1 } << 20U;
constexpr unsigned kMaxTries = 100;
constexpr std::chrono::milliseconds kRetryPause{ 30 };
constexpr std::size_t kMaxRandomText = 40;
constexpr std::size_t kShownText = 60;

constexpr std::string_view kPromises[] = {
  "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANYCON"
};

const std::string kTexts[] = {
  "plain",
  "a\nb",
  "\n",
  "\n\n",
  "a\n",
  "\na",
  "a\r",
  "\ra",
  "a\r\rb\r",
  "a\n\rb",
  "  two  blanks  ",
  "a\tb",
  "a\nTERMINATE",
  "a\nQUERY 5c0e7a21f00d WRITE other nobody sent this",
  "a\nCOMPLETE 7.1f\nREADY I 9.9",
  std::string("a\0b", 3),
};

std::string
Visible(std::string_view aText)
{
  std::string out;
  for (const char one : aText.substr(0, kShownText)) {
    out += one == '\n' ? "\\n" : one == '\r' ? "\\r" : std::string(1, one);
  }
  return out;
}

// A text of 100 KB of many short lines.
std::string
ManyLines()
{
  std::string text;
  while (text.size() < 100'000) {
    text += "line " + std::to_string(text.size()) + "\n";
  }
  return text;
}

} // namespace

plain_caller::plain_caller(std::uint16_t aPort,
                           std::string aDatabase,
                           unsigned aNumber,
                           unsigned aSeed)
  : mPort(aPort)
  , mDatabase(std::move(aDatabase))
  , mNumber(aNumber)
  , mRandom(aSeed * 1000 + aNumber)
{
}

// CR, LF, blanks and letters, without a line end.
std::string
plain_caller::RandomText()
{
  std::string text;
  for (auto left = 1 + mRandom() % kMaxRandomText; left > 0; --left) {
    const char next = "\r\n\n \tab"[mRandom() % 7];
    text.push_back(next == '\n' && text.ends_with('\r') ? 'c' : next);
  }
  return text;
}

std::string
plain_caller::NextId()
{
  return std::to_string(mNumber) + "x" + std::to_string(++mRequests);
}

bool
plain_caller::Open()
{
  const int made = Connect(mPort);
  if (made < 0) {
    return false;
  }
  mConnection =
    std::make_unique<plain_connection>(made, static_cast<unsigned>(mRandom()));
  std::string line;
  return mConnection->SendLine("START " + mDatabase + " caller") &&
         mConnection->ReadLine(line) && line.starts_with("READY ");
}

plain_caller::outcome
plain_caller::Ask(const std::string& aId, const std::string& aText)
{
  // Whether the session has ended shows in the answer.
  (void)mConnection->SendLine("QUERY " + aId + " " + aText);
  return ReadAnswer();
}

plain_caller::outcome
plain_caller::ReadAnswer()
{
  outcome made;
  std::string line;
  while (mConnection->ReadLine(line)) {
    std::string_view rest = line;
    const auto word = TakeWord(rest);
    if (word == "READY") {
      return made;
    }
    if (word == "DATAROW") {
      made.rows.emplace_back(rest);
    } else if (word == "COMPLETE") {
      made.signature = rest;
    } else if (word == "ERROR") {
      made.error = rest;
      made.mayRetry =
        std::find(std::begin(kPromises),
                  std::end(kPromises),
                  rest.substr(0, rest.find(' '))) != std::end(kPromises);
    } else {
      made.error = "unknown message: " + Visible(line);
    }
  }
  made.error = "the session was closed";
  if (!Open()) {
    made.error += ", and no new one opened";
  }
  return made;
}

bool
plain_caller::Do(const std::string& aText, const std::string& aRecorded)
{
  outcome last;
  for (unsigned tries = 0; tries < kMaxTries; ++tries) {
    const auto id = NextId();
    mLog.sent[id] = aRecorded;
    last = Ask(id, aText);
    if (last.error.empty()) {
      if (last.signature == "signed-" + id) {
        mLog.done.push_back(id);
        return true;
      }
      if (last.signature == "-") {
        return true;
      }
      last.error = "signature " + last.signature;
    }
    if (!last.mayRetry) {
      break;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  Wrong(last.error, aText);
  return false;
}

void
plain_caller::CheckRead(const std::string& aText)
{
  const auto text = "READ " + aText;
  for (unsigned tries = 0; tries < kMaxTries; ++tries) {
    const auto id = NextId();
    mLog.sent[id] = text;
    const auto answer = Ask(id, text);
    if (answer.mayRetry) {
      std::this_thread::sleep_for(kRetryPause);
      continue;
    }
    if (!answer.error.empty()) {
      Wrong(answer.error, text);
    } else if (answer.rows != std::vector<std::string>{ aText }) {
      Wrong("rows differ", text);
    }
    return;
  }
  Wrong("never served", text);
}

// The server answers with an error that has the same text.
void
plain_caller::CheckFailingRead(const std::string& aText)
{
  const auto text = "READ fail" + aText;
  const auto id = NextId();
  mLog.sent[id] = text;
  const auto answer = Ask(id, text);
  if (answer.error != "FAILED fail" + aText) {
    Wrong("error " + Visible(answer.error), text);
  }
}

void
plain_caller::CheckTransaction(const std::string& aText)
{
  const auto text = "WRITE item " + aText;
  if (Do("BEGIN", "BEGIN") && Do(text, text)) {
    Do("COMMIT", "COMMIT");
  }
}

void
plain_caller::CheckText(const std::string& aText)
{
  const auto write = "WRITE item " + aText;
  Do(write, write);
  CheckRead("x " + aText);
  mLog.settings.insert("SET name " + aText);
  Do("SET name " + aText, "");
  Do(write, write);
  mLog.settings.insert("PREPARE WRITE " + aText);
  Do("PREPARE made WRITE " + aText, "");
  Do("EXECUTE made " + aText, "EXECUTE " + aText);
  CheckTransaction(aText);
}

// A message of the longest length that the protocol allows.
void
plain_caller::CheckLongest()
{
  const auto id = NextId();
  std::string text = "WRITE item ";
  text.resize(kMaxMessage - std::string_view("QUERY ").size() - id.size() - 1,
              'x');
  text[text.size() / 2] = '\n';
  mLog.sent[id] = text;
  const auto answer = Ask(id, text);
  if (answer.signature != "signed-" + id) {
    Wrong("the longest message: " + answer.error, text);
  }
}

// A message over the limit is rejected, and the session goes on.
void
plain_caller::CheckTooLong()
{
  const auto id = NextId();
  mLog.sent[id] = "none";
  const auto answer = Ask(id, "WRITE item " + std::string(kMaxMessage, 'x'));
  if (!answer.error.starts_with("MALFORMED ")) {
    Wrong("a message over the limit: " + answer.error, "");
  }
  CheckRead("x after it");
}

// Answers come in the order of the messages, also to those that are invalid.
void
plain_caller::CheckOrder()
{
  const auto first = NextId();
  const auto second = NextId();
  mLog.sent[first] = "READ x";
  mLog.sent[second] = "none";
  (void)mConnection->SendLine("QUERY " + first + " READ x");
  (void)mConnection->SendLine("QUERY " + second + " NONSENSE");
  const auto read = ReadAnswer();
  const auto rejected = ReadAnswer();
  if (!(read.mayRetry || read.signature == "signed-" + first) ||
      !rejected.error.starts_with("MALFORMED ")) {
    Wrong("answers out of order: " + read.error + ", " + rejected.error, "");
  }
}

// A missing argument is not the same text as an empty one.
void
plain_caller::CheckWithoutArguments()
{
  for (const std::string empty : { "", " " }) {
    mLog.settings.insert("SET bare" + empty);
    Do("SET bare" + empty, "");
    mLog.settings.insert("PREPARE READ" + empty);
    Do("PREPARE bare READ" + empty, "");
    Do("EXECUTE bare", "EXECUTE");
    Do("EXECUTE bare ", "EXECUTE ");
  }
}

void
plain_caller::Run(unsigned aRandomTexts)
{
  if (!Open()) {
    Wrong("no session", "");
    return;
  }
  for (const auto& text : kTexts) {
    CheckText(text);
  }
  for (unsigned left = aRandomTexts; left > 0; --left) {
    CheckText(RandomText());
  }
  CheckText(ManyLines());
  CheckLongest();
  CheckTooLong();
  CheckOrder();
  CheckWithoutArguments();
  CheckFailingRead(" a\nb\r");
}

void
plain_caller::Wrong(const std::string& aWhat, const std::string& aText)
{
  mLog.wrong.push_back("caller " + std::to_string(mNumber) + ": " + aWhat +
                       ", for " + Visible(aText));
}

} // namespace currantshed::test::wire

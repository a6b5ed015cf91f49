#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "currantshed/node/line_stream.hpp"
#include "currantshed/settings/parser.hpp"

namespace {

using currantshed::node::line_stream;
using tcp = boost::asio::ip::tcp;
using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

/// Totals over all callers.
struct tally
{
  std::uint64_t served = 0;
  std::uint64_t acknowledged = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t cut = 0;
  std::uint64_t wrong = 0;
  std::string firstWrong;

  void Wrong(const std::string& aWhat)
  {
    ++wrong;
    firstWrong = firstWrong.empty() ? aWhat : firstWrong;
  }
};

struct options
{
  std::string ports;
  unsigned callers = 12;
  unsigned groups = 2;
  milliseconds length{ 5000 };
  unsigned seed = 1;
};

/// One caller: writes increasing numbers to its own item and reads it back. A
/// read in its own session must return the last acknowledged number; only
/// attempts with an unknown outcome may show a higher one.
class caller : public std::enable_shared_from_this<caller>
{
public:
  caller(boost::asio::io_context& aContext,
         std::vector<std::uint16_t> aPorts,
         const options& aOptions,
         unsigned aNumber,
         clock_type::time_point aEnd,
         tally& aTally)
    : mContext(aContext)
    , mPorts(std::move(aPorts))
    , mGroups(aOptions.groups)
    , mNumber(aNumber)
    , mRun(std::to_string(aOptions.seed))
    , mEnd(aEnd)
    , mTally(aTally)
    , mRandom(aOptions.seed * 1000 + aNumber)
    , mTimer(aContext)
  {
  }

  void Start()
  {
    // The run id keeps this run's items apart from those of other runs.
    mItem = "item-" + mRun + "-" + std::to_string(mNumber);
    mDatabase = "group-" + std::to_string(mNumber % mGroups) + ".";
    mDatabase += mNumber % 2 == 0 ? "primary" : "read_your_writes";
    Connect();
  }

private:
  enum class step
  {
    kStart,
    kBegin,
    kSet,
    kPrepare,
    kWrite,
    kExecute,
    kRead,
    kCommit,
  };

  void Connect()
  {
    if (clock_type::now() >= mEnd) {
      return;
    }
    const auto port = mPorts[mRandom() % mPorts.size()];
    mStream = std::make_shared<line_stream>(tcp::socket(mContext));
    // A new session, which may be on another VM, has no writes of its own yet.
    mOwn = 0;
    mIsPrepared = false;
    mStream->Connect(
      tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port),
      [self = shared_from_this()](bool aConnected) {
        aConnected ? self->Open() : self->Later(milliseconds{ 50 });
      });
  }

  void Open()
  {
    mStream->Start({ [self = shared_from_this()](std::string_view aLine) {
                      self->Line(std::string(aLine));
                    },
                     [self = shared_from_this()] { self->Ended(); } });
    mStep = step::kStart;
    mIsBusy = true;
    mStream->Send("START " + mDatabase + " caller\r\n");
  }

  void Ended()
  {
    if (mIsBusy && mStep != step::kStart) {
      ++mTally.cut;
      Forget(true);
    }
    mInTransaction = false;
    mIsBusy = false;
    Later(milliseconds{ 20 });
  }

  void Later(milliseconds aPause)
  {
    mTimer.expires_after(aPause);
    mTimer.async_wait([self = shared_from_this()](boost::system::error_code) {
      self->Connect();
    });
  }

  // An attempt with an unknown outcome may have taken effect.
  void Forget(bool aUnknown)
  {
    const bool single = mStep == step::kWrite || mStep == step::kExecute;
    const bool last = mInTransaction ? mStep == step::kCommit : single;
    if (aUnknown && last) {
      ++mTally.unknown;
      mHighest = mLast;
    }
  }

  void Next()
  {
    if (clock_type::now() >= mEnd) {
      mStream->Close();
      return;
    }
    const auto draw = mRandom() % 10;
    if (mInTransaction) {
      Ask(draw < 4 ? step::kCommit : draw < 8 ? step::kWrite : step::kRead);
    } else if (draw < 1) {
      Ask(step::kSet);
    } else if (draw < 2) {
      Ask(step::kPrepare);
    } else if (draw < 4) {
      Ask(step::kBegin);
    } else if (draw < 5 && mIsPrepared) {
      Ask(step::kExecute);
    } else {
      Ask(draw < 7 ? step::kWrite : step::kRead);
    }
  }

  void Ask(step aStep)
  {
    mStep = aStep;
    mIsBusy = true;
    mId = std::to_string(mNumber) + "x" + std::to_string(++mRequests);
    mRow.clear();
    mFailure.clear();
    mSignature.clear();
    const auto head = "QUERY " + mId + " ";
    switch (aStep) {
      case step::kBegin:
        mStream->Send(head + "BEGIN\r\n");
        break;
      case step::kSet:
        mStream->Send(head + "SET name " + mId + "\r\n");
        break;
      case step::kPrepare:
        mStream->Send(head + "PREPARE w WRITE shape\r\n");
        break;
      case step::kExecute:
        mStream->Send(head + "EXECUTE w " + mItem + " " +
                      std::to_string(++mLast) + "\r\n");
        break;
      case step::kWrite:
        mStream->Send(head + "WRITE " + mItem + " " + std::to_string(++mLast) +
                      "\r\n");
        break;
      case step::kCommit:
        mStream->Send(head + "COMMIT\r\n");
        break;
      default:
        mStream->Send(head + "READ " + mItem + "\r\n");
        break;
    }
  }

  void Line(const std::string& aLine)
  {
    if (aLine.starts_with("DATAROW ")) {
      mRow = aLine.substr(8);
    } else if (aLine.starts_with("COMPLETE ")) {
      mSignature = aLine.substr(9);
    } else if (aLine.starts_with("ERROR ")) {
      mFailure = aLine.substr(6);
    } else if (aLine.starts_with("READY ")) {
      mIsBusy = false;
      mStep == step::kStart ? Next() : Answered(aLine.substr(6, 1));
    }
  }

  void Answered(const std::string& aState)
  {
    if (!mFailure.empty()) {
      Failed();
      return;
    }
    ++mTally.served;
    const bool signedBy = mStep == step::kWrite || mStep == step::kExecute ||
                          mStep == step::kRead || mStep == step::kCommit;
    if (signedBy && mSignature != "signed-" + mId) {
      mTally.Wrong("success without its signature: " + mId);
    }
    switch (mStep) {
      case step::kBegin:
        mInTransaction = true;
        mHasWritten = false;
        break;
      case step::kPrepare:
        mIsPrepared = true;
        break;
      case step::kRead:
        CheckRead();
        break;
      case step::kWrite:
      case step::kExecute:
        mHasWritten = true;
        if (!mInTransaction) {
          Acknowledged();
        }
        break;
      case step::kCommit:
        mInTransaction = false;
        if (mHasWritten) {
          Acknowledged();
        }
        break;
      default:
        break;
    }
    if (aState != (mInTransaction ? "T" : "I")) {
      mTally.Wrong("state " + aState + " after " + mId);
    }
    Pause();
  }

  void Acknowledged()
  {
    ++mTally.acknowledged;
    mOwn = mLast;
    mHighest = mLast;
  }

  void CheckRead()
  {
    std::uint64_t seen = 0;
    (void)absl::SimpleAtoi(mRow, &seen);
    if (!mInTransaction && seen < mOwn) {
      mTally.Wrong(mItem + " shows " + mRow + " after " + std::to_string(mOwn) +
                   " was acknowledged");
    }
    if (!mInTransaction && seen > mHighest) {
      mTally.Wrong(mItem + " shows " + mRow + ", which was refused");
    }
  }

  void Failed()
  {
    const bool promised =
      mFailure.starts_with("BUSY") || mFailure.starts_with("ABORTED") ||
      mFailure.starts_with("READONLY") || mFailure.starts_with("LAGGING");
    ++mTally.refused;
    std::cerr << mItem << ": " << mId << " with " << mLast
              << (mInTransaction ? " in a transaction" : "") << ": " << mFailure
              << '\n';
    Forget(!promised);
    // A failed transaction ends with its session. The pause is at most the
    // retry delay given in the refusal.
    mInTransaction = false;
    mStream->Close();
    Later(milliseconds{ 100 });
  }

  void Pause()
  {
    mTimer.expires_after(milliseconds{ 1 + mRandom() % 10 });
    mTimer.async_wait([self = shared_from_this()](boost::system::error_code) {
      if (self->mStream->IsOpen()) {
        self->Next();
      }
    });
  }

  boost::asio::io_context& mContext;
  std::vector<std::uint16_t> mPorts;
  unsigned mGroups;
  unsigned mNumber;
  std::string mRun;
  clock_type::time_point mEnd;
  tally& mTally;
  std::mt19937 mRandom;
  boost::asio::steady_timer mTimer;
  std::shared_ptr<line_stream> mStream;
  std::string mItem;
  std::string mDatabase;
  step mStep = step::kStart;
  bool mIsBusy = false;
  bool mInTransaction = false;
  bool mIsPrepared = false;
  /// Whether the open transaction has written.
  bool mHasWritten = false;
  std::uint64_t mRequests = 0;
  // The last number attempted, the last one acknowledged in this session, and
  // the highest that a read may return.
  std::uint64_t mLast = 0;
  std::uint64_t mOwn = 0;
  std::uint64_t mHighest = 0;
  std::string mId;
  std::string mRow;
  std::string mSignature;
  std::string mFailure;
};

int
Play(int aCount, char** aValues)
{
  options chosen;
  currantshed::settings::parser parser(
    "currantshed-standin-callers",
    "Runs callers that write and read through VMs on 127.0.0.1, check each "
    "answer and print totals as one line of JSON; the exit code is 1 if any "
    "answer was wrong.");
  parser.Text(chosen.ports, "ports", "Ports of the VMs, comma-separated", true);
  parser.Count(chosen.callers, "callers", "Callers", 1, 1000);
  parser.Count(chosen.groups, "groups", "Groups of servers", 1, 8);
  parser.Count(chosen.seed, "seed", "Seed of the random choices", 0, 1000000);
  parser.Milliseconds(chosen.length,
                      "length-ms",
                      "Run time in milliseconds",
                      milliseconds{ 100 },
                      milliseconds{ 600000 });
  const auto parsed = parser.Parse(aCount, aValues);
  if (parsed.end == currantshed::settings::parse_end::kExit) {
    return parsed.exitCode;
  }
  std::vector<std::uint16_t> ports;
  for (const auto& text :
       std::vector<std::string>(absl::StrSplit(chosen.ports, ','))) {
    std::uint32_t port = 0;
    if (!absl::SimpleAtoi(text, &port) || port == 0 || port > 65535) {
      std::cerr << "ports: " << text << " is not a port number\n";
      return currantshed::settings::kUsageExitCode;
    }
    ports.push_back(static_cast<std::uint16_t>(port));
  }
  boost::asio::io_context context;
  tally seen;
  const auto end = clock_type::now() + chosen.length;
  for (unsigned number = 0; number < chosen.callers; ++number) {
    std::make_shared<caller>(context, ports, chosen, number, end, seen)
      ->Start();
  }
  // Callers that are still waiting 8 s after the end got no answer.
  context.run_for(chosen.length + milliseconds{ 8000 });
  std::cout << "{\"served\":" << seen.served
            << ",\"acknowledged\":" << seen.acknowledged
            << ",\"refused\":" << seen.refused
            << ",\"unknown\":" << seen.unknown << ",\"cut\":" << seen.cut
            << ",\"wrong\":" << seen.wrong << ",\"first_wrong\":\""
            << seen.firstWrong << "\"}\n";
  return seen.wrong == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int
main(int aCount, char** aValues)
{
  try {
    return Play(aCount, aValues);
  } catch (const std::exception& failure) {
    std::fputs(failure.what(), stderr);
    return EXIT_FAILURE;
  }
}

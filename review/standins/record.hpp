// The record of a case: one line for each thing sent, answered or run.
#ifndef REVIEW_STANDINS_RECORD_HPP
#define REVIEW_STANDINS_RECORD_HPP

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace review {

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;
using std::chrono::milliseconds;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// Writes lines with the milliseconds since the start.
class record
{
public:
  explicit record(const std::string& aPath)
    : mFile(std::fopen(aPath.c_str(), "w"))
    , mStart(clock_type::now())
  {
    if (mFile == nullptr) {
      std::perror(aPath.c_str());
      std::exit(kCouldNotRun);
    }
  }
  record(const record&) = delete;
  record& operator=(const record&) = delete;
  ~record() { std::fclose(mFile); }

  [[nodiscard]] long Ms(time_point aAt) const
  {
    return std::chrono::duration_cast<milliseconds>(aAt - mStart).count();
  }
  [[nodiscard]] long Now() const { return Ms(clock_type::now()); }

  void Line(const std::string& aText)
  {
    std::fprintf(mFile, "%8ld ms  %s\n", Now(), aText.c_str());
    std::fflush(mFile);
  }

  /// Also shown on standard output.
  void Step(const std::string& aText)
  {
    Line(aText);
    std::printf("%8ld ms  %s\n", Now(), aText.c_str());
    std::fflush(stdout);
  }

private:
  std::FILE* mFile;
  time_point mStart;
};

} // namespace review

#endif

#include "currantshed/burn/picture.hpp"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "currantshed/burn/canvas.hpp"
#include "currantshed/clock/print_time.hpp"

namespace currantshed::burn {
namespace {

constexpr double kWidth = 1200;
constexpr double kHeaderHeight = 104;
constexpr double kPanelHeight = 250;
constexpr double kFooterHeight = 16;
constexpr double kLeft = 72;
constexpr double kRight = 204;
constexpr double kPanelTop = 36;
constexpr double kPanelBottom = 34;
constexpr double kPercent = 100;
/// Factor by which the axis extends above the highest rate, so that no curve
/// runs along the frame.
constexpr double kHeadroom = 1.25;
constexpr int kTimeTicks = 6;
constexpr std::size_t kMaxPoints = 600;
constexpr double kSmallText = 12;
constexpr double kText = 14;
constexpr double kTitle = 20;

constexpr colour kTextColour{ 0.13, 0.15, 0.18 };
constexpr colour kAxisColour{ 0.42, 0.45, 0.50 };
constexpr colour kGridColour{ 0.90, 0.91, 0.93 };
constexpr colour kAlertColour{ 0.80, 0.13, 0.16 };
constexpr colour kOkColour{ 0.13, 0.52, 0.28 };

/// A curve of each panel.
struct curve
{
  const char* label;
  objective_kind kind;
  std::chrono::seconds window;
  colour lineColour;
  double width;
};

constexpr curve kCurves[] = {
  { "deadline, 5 min",
    objective_kind::kDeadline,
    std::chrono::minutes(5),
    { 0.45, 0.67, 0.92 },
    1.4 },
  { "deadline, 1 h",
    objective_kind::kDeadline,
    std::chrono::hours(1),
    { 0.07, 0.33, 0.72 },
    2.6 },
  { "outcome, 5 min",
    objective_kind::kOutcome,
    std::chrono::minutes(5),
    { 0.98, 0.72, 0.35 },
    1.4 },
  { "outcome, 1 h",
    objective_kind::kOutcome,
    std::chrono::hours(1),
    { 0.80, 0.40, 0.02 },
    2.6 },
};

/// Burn rates with a grid line.
constexpr double kRateTicks[] = { 0, 1, 10, 100, 1000, 10'000, 100'000 };

/// Vertical position of the panel of one class, and the highest rate that it
/// shows.
struct panel
{
  double top = 0;
  double bottom = 0;
  double highest = 0;
};

/// Logarithmic scale that includes zero, since burn rates span several powers
/// of ten.
double
ScaleRate(double aRate)
{
  return std::log10(1 + aRate);
}

/// Draws a report.
class painter
{
public:
  painter(const report& aReport, const increments_by_class& aIncrements)
    : mReport(aReport)
    , mIncrements(aIncrements)
    , mCanvas(kWidth,
              kHeaderHeight +
                kPanelHeight * static_cast<double>(aReport.classes.size()) +
                kFooterHeight)
  {
  }

  bool Paint(const std::string& aFile)
  {
    Header();
    panel place;
    place.top = kHeaderHeight + kPanelTop;
    for (const auto& one : mReport.classes) {
      place.bottom = place.top + kPanelHeight - kPanelTop - kPanelBottom;
      Panel(one, place);
      place.top += kPanelHeight;
    }
    return mCanvas.Save(aFile);
  }

private:
  void Header()
  {
    mCanvas.DrawText(
      kLeft, 34, kTitle, kTextColour, "Service-level burn by class of work");
    mCanvas.DrawText(
      kLeft,
      56,
      kText,
      kAxisColour,
      absl::StrCat(clock::PrintTime(mReport.begin),
                   " to ",
                   clock::PrintTime(mReport.end),
                   ".  A rate of 1 spends the error budget exactly "
                   "over its period."));
    Legend();
  }

  void Legend()
  {
    constexpr double kMark = 26;
    constexpr double kGap = 8;
    constexpr double kY = 82;
    double x = kLeft;
    for (const auto& one : kCurves) {
      mCanvas.DrawLine(x, kY - 4, x + kMark, kY - 4, one.lineColour, one.width);
      x += kMark + kGap;
      mCanvas.DrawText(x, kY, kText, kTextColour, one.label);
      x += mCanvas.TextWidth(one.label, kText) + 3 * kGap;
    }
    mCanvas.DrawLine(x, kY - 4, x + kMark, kY - 4, kAlertColour, 1.2, true);
    mCanvas.DrawText(
      x + kMark + kGap, kY, kText, kTextColour, "rate of an alert rule");
  }

  void Panel(const class_burn& aClass, panel& aPlace)
  {
    const auto found = mIncrements.find(aClass.name);
    const auto& increments =
      found == mIncrements.end() ? mNothing : found->second;
    const auto ends = PickTimes(increments);
    aPlace.highest = HighestRate(aClass, increments, ends);
    Frame(aClass, aPlace);
    for (const auto& one : kCurves) {
      Curve(one, aClass, increments, ends, aPlace);
    }
    State(aClass, aPlace);
    if (increments.empty()) {
      mCanvas.DrawText(kLeft + 16,
                       (aPlace.top + aPlace.bottom) / 2,
                       kText,
                       kAxisColour,
                       "no requests");
    }
  }

  /// Selects the times of the points of a curve, bounded in number.
  static std::vector<clock::wall_time> PickTimes(
    const std::vector<increment>& aIncrements)
  {
    std::vector<clock::wall_time> times;
    times.reserve(aIncrements.size());
    for (const auto& one : aIncrements) {
      times.push_back(one.end);
    }
    times.erase(std::unique(times.begin(), times.end()), times.end());
    const std::size_t step = times.size() / kMaxPoints + 1;
    std::vector<clock::wall_time> picked;
    picked.reserve(times.size() / step + 1);
    const std::size_t first = times.empty() ? 0 : (times.size() - 1) % step;
    for (std::size_t i = first; i < times.size(); i += step) {
      picked.push_back(times[i]);
    }
    return picked;
  }

  static double HighestRate(const class_burn& aClass,
                            const std::vector<increment>& aIncrements,
                            const std::vector<clock::wall_time>& aTimes)
  {
    double highest = 2 * kAlertRules[0].rate;
    for (const auto& one : kCurves) {
      for (const auto time : aTimes) {
        highest = std::max(
          highest,
          BurnOver(aIncrements, one.kind, aClass.objective, time, one.window)
            .burnRate);
      }
    }
    return kHeadroom * highest;
  }

  [[nodiscard]] double XOf(clock::wall_time aTime) const
  {
    using precise = std::chrono::duration<double>;
    const double part =
      precise(aTime - mReport.begin) / precise(mReport.end - mReport.begin);
    return kLeft + part * (kWidth - kLeft - kRight);
  }

  static double YOf(double aRate, const panel& aPlace)
  {
    const double part = ScaleRate(aRate) / ScaleRate(aPlace.highest);
    return aPlace.bottom - part * (aPlace.bottom - aPlace.top);
  }

  void Frame(const class_burn& aClass, const panel& aPlace)
  {
    const double right = kWidth - kRight;
    for (const double rate : kRateTicks) {
      if (rate > aPlace.highest) {
        break;
      }
      const double y = YOf(rate, aPlace);
      mCanvas.DrawLine(kLeft, y, right, y, kGridColour, 1);
      mCanvas.DrawTextEndingAt(
        kLeft - 8, y + 4, kSmallText, kAxisColour, absl::StrFormat("%g", rate));
    }
    TimeTicks(aPlace);
    for (const auto& rule : kAlertRules) {
      const double y = YOf(rule.rate, aPlace);
      mCanvas.DrawLine(kLeft, y, right, y, kAlertColour, 1.2, true);
      mCanvas.DrawText(right + 8,
                       y + 4,
                       kSmallText,
                       kAlertColour,
                       absl::StrFormat("%g, %s alert", rule.rate, rule.name));
    }
    mCanvas.DrawLine(
      kLeft, aPlace.bottom, right, aPlace.bottom, kAxisColour, 1);
    mCanvas.DrawLine(kLeft, aPlace.top, kLeft, aPlace.bottom, kAxisColour, 1);
    mCanvas.DrawText(
      kLeft, aPlace.top - 12, kText + 1, kTextColour, aClass.name);
    mCanvas.DrawText(kLeft + mCanvas.TextWidth(aClass.name, kText + 1) + 12,
                     aPlace.top - 12,
                     kSmallText,
                     kAxisColour,
                     absl::StrFormat("objective %.6g%%, %.0f requests",
                                     kPercent * aClass.objective,
                                     aClass.objectives.front().whole.requests));
  }

  void TimeTicks(const panel& aPlace)
  {
    const auto span = mReport.end - mReport.begin;
    for (int i = 0; i <= kTimeTicks; ++i) {
      const auto time = mReport.begin + span * i / kTimeTicks;
      const double x = XOf(time);
      mCanvas.DrawLine(x, aPlace.top, x, aPlace.bottom, kGridColour, 1);
      constexpr std::size_t kDateLength = 11;
      constexpr std::size_t kClockLength = 8;
      const std::string text =
        clock::PrintTime(time).substr(kDateLength, kClockLength);
      mCanvas.DrawText(x - mCanvas.TextWidth(text, kSmallText) / 2,
                       aPlace.bottom + 18,
                       kSmallText,
                       kAxisColour,
                       text);
    }
  }

  void Curve(const curve& aCurve,
             const class_burn& aClass,
             const std::vector<increment>& aIncrements,
             const std::vector<clock::wall_time>& aTimes,
             const panel& aPlace)
  {
    mCanvas.BeginPath();
    for (const auto time : aTimes) {
      const auto burn = BurnOver(
        aIncrements, aCurve.kind, aClass.objective, time, aCurve.window);
      mCanvas.LineTo(XOf(time), YOf(burn.burnRate, aPlace));
    }
    mCanvas.Stroke(aCurve.lineColour, aCurve.width);
  }

  /// Draws the alert state of each objective to the right of the panel.
  void State(const class_burn& aClass, const panel& aPlace)
  {
    double y = aPlace.bottom - 30;
    for (const auto& one : aClass.objectives) {
      const bool isFine = one.alerts.empty();
      mCanvas.DrawText(kWidth - kRight + 8,
                       y,
                       kSmallText,
                       isFine ? kOkColour : kAlertColour,
                       absl::StrFormat("%s %s, %.3g overall",
                                       ToString(one.kind),
                                       isFine ? "ok" : "ALERT",
                                       one.whole.burnRate));
      y += 18;
    }
  }

  const report& mReport;
  const increments_by_class& mIncrements;
  canvas mCanvas;
  std::vector<increment> mNothing;
};

} // namespace

bool
DrawPicture(const report& aReport,
            const increments_by_class& aIncrements,
            const std::string& aFile)
{
  return painter(aReport, aIncrements).Paint(aFile);
}

} // namespace currantshed::burn

#ifndef CURRANTSHED_LOAD_REPORT_HPP
#define CURRANTSHED_LOAD_REPORT_HPP

#include <iosfwd>
#include <string>

#include "currantshed/load/checker.hpp"
#include "currantshed/load/history.hpp"

namespace currantshed::load {

/// Formats the findings as one JSON object.
[[nodiscard]] std::string
ReportJson(const findings& aFindings, std::chrono::milliseconds aLength);

/// Formats the findings as human-readable lines.
[[nodiscard]] std::string
ReportText(const findings& aFindings);

/// Writes every answer and change of a history as one JSON object per line.
void
WriteRecords(std::ostream& aTarget, const history& aHistory);

} // namespace currantshed::load

#endif

#ifndef CURRANTSHED_LOAD_REPORT_HPP
#define CURRANTSHED_LOAD_REPORT_HPP

#include <iosfwd>
#include <string>

#include "currantshed/load/checker.hpp"
#include "currantshed/load/history.hpp"

namespace currantshed::load {

/// The findings as one JSON object.
[[nodiscard]] std::string
ReportJson(const findings& aFindings, std::chrono::milliseconds aLength);

/// The findings as lines for a person.
[[nodiscard]] std::string
ReportText(const findings& aFindings);

/// Writes every answer and change of a history, one JSON object a line.
void
WriteRecords(std::ostream& aTarget, const history& aHistory);

} // namespace currantshed::load

#endif

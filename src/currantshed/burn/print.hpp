#ifndef CURRANTSHED_BURN_PRINT_HPP
#define CURRANTSHED_BURN_PRINT_HPP

#include <string>

#include <boost/json/object.hpp>

#include "currantshed/burn/report.hpp"

namespace currantshed::burn {

/// Formats the report as a table with one row per class and objective.
[[nodiscard]] std::string
FormatReport(const report& aReport);

[[nodiscard]] boost::json::object
ReportToJson(const report& aReport);

} // namespace currantshed::burn

#endif

#ifndef CURRANTSHED_BURN_PICTURE_HPP
#define CURRANTSHED_BURN_PICTURE_HPP

#include <string>

#include "currantshed/burn/report.hpp"

namespace currantshed::burn {

/// Draws the burn rates over time to a PNG file: one panel per class, with the
/// burn rates of both objectives over the trailing five minutes and the
/// trailing hour (shorter at the start of the data) and the thresholds of the
/// alert rules. Returns false if the file cannot be written.
[[nodiscard]] bool
DrawPicture(const report& aReport,
            const increments_by_class& aIncrements,
            const std::string& aFile);

} // namespace currantshed::burn

#endif

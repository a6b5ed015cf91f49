#ifndef CURRANTSHED_BURN_PICTURE_HPP
#define CURRANTSHED_BURN_PICTURE_HPP

#include <string>

#include "currantshed/burn/report.hpp"

namespace currantshed::burn {

/// Draws the burn rates over time into a PNG file: one panel for each class,
/// with the burn of both targets over the trailing five minutes and hour
/// (less where the data begin later) and the rates of the alert rules. False
/// if the file can't be written.
[[nodiscard]] bool
DrawPicture(const report& aReport,
            const increments_by_class& aIncrements,
            const std::string& aFile);

} // namespace currantshed::burn

#endif

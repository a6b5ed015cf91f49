#ifndef CURRANTSHED_BURN_EXPOSITION_HPP
#define CURRANTSHED_BURN_EXPOSITION_HPP

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "currantshed/burn/fwd.hpp"

namespace currantshed::burn {

/// One sample of a metric.
struct sample
{
  std::string name;
  std::map<std::string, std::string> labels;
  double value = 0;
};

/// What stands in a text of Prometheus's exposition format, version 0.0.4.
struct exposition
{
  std::vector<sample> samples;
  /// Lines that could not be read, by number from one.
  std::vector<int> badLines;
};

/// Reads every sample; comments and time stamps are passed over.
[[nodiscard]] exposition
ParseExposition(std::string_view aText);

/// The label's value, or an empty text.
[[nodiscard]] std::string
FindLabel(const sample& aSample, const std::string& aName);

} // namespace currantshed::burn

#endif

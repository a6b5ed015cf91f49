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

/// Contents of a text in the Prometheus exposition format, version 0.0.4.
struct exposition
{
  std::vector<sample> samples;
  /// Numbers of the lines that could not be parsed, starting at one.
  std::vector<int> badLines;
};

/// Parses all samples; comments and timestamps are ignored.
[[nodiscard]] exposition
ParseExposition(std::string_view aText);

/// Value of a label, or an empty string if it is missing.
[[nodiscard]] std::string
FindLabel(const sample& aSample, const std::string& aName);

} // namespace currantshed::burn

#endif

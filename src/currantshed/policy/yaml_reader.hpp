#ifndef CURRANTSHED_POLICY_YAML_READER_HPP
#define CURRANTSHED_POLICY_YAML_READER_HPP

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "currantshed/policy/declaration.hpp"

namespace currantshed::policy::internal {

/// Collects faults, up to a maximum number.
class fault_list
{
public:
  void Add(const YAML::Mark& aLocation, std::string aMessage);

  /// Moves out all faults, sorted by location.
  [[nodiscard]] std::vector<fault> Take();

private:
  std::vector<fault> mFaults;
};

/// Range of a duration, both ends included.
struct time_bounds
{
  std::chrono::milliseconds lowest;
  std::chrono::milliseconds highest;
};

/// An entry of a map and the location of its key.
struct map_entry
{
  std::string key;
  YAML::Mark location;
  YAML::Node value;
};

/// Reads values from YAML nodes and collects faults. Messages name the field.
class yaml_reader
{
public:
  explicit yaml_reader(fault_list& aFaults);

  /// Returns the entries of a map. Adds a fault and returns nothing if the node
  /// is not a map; adds one for each repeated key. aLocation is that of the
  /// map's own key.
  [[nodiscard]] std::vector<map_entry> Map(const YAML::Node& aNode,
                                           const YAML::Mark& aLocation,
                                           const std::string& aContext);

  /// Like Map, but adds a fault for each unknown key.
  [[nodiscard]] std::vector<map_entry> Fields(
    const YAML::Node& aNode,
    const YAML::Mark& aLocation,
    const std::string& aContext,
    std::span<const std::string_view> aKnown);

  /// Checks a name: letters, digits, dots, dashes and underscores.
  [[nodiscard]] bool Name(const std::string& aText,
                          const YAML::Mark& aLocation,
                          const std::string& aContext);

  /// Reads a list of at least one name, without duplicates.
  [[nodiscard]] std::vector<std::string> Names(const map_entry& aField);

  /// Returns the index in aWords of the field's value.
  [[nodiscard]] std::optional<std::size_t> OneOf(
    const map_entry& aField,
    std::span<const std::string_view> aWords);

  /// Reads a duration with its unit.
  [[nodiscard]] std::optional<std::chrono::milliseconds> Time(
    const map_entry& aField,
    const time_bounds& aBounds);

  /// Reads a percentage such as 99.9% as a fraction between 0 and 1.
  [[nodiscard]] std::optional<double> Percentage(const map_entry& aField,
                                                 double aLowest,
                                                 double aHighest);

  void Add(const YAML::Mark& aLocation, std::string aMessage);

private:
  [[nodiscard]] std::optional<std::string> Scalar(const map_entry& aField,
                                                  const std::string& aExpected);

  fault_list& mFaults;
};

} // namespace currantshed::policy::internal

#endif

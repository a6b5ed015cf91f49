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

/// Collects what is wrong, up to a bound.
class fault_list
{
public:
  void Add(const YAML::Mark& aLocation, std::string aMessage);

  /// All faults in the order of the text.
  [[nodiscard]] std::vector<fault> Take();

private:
  std::vector<fault> mFaults;
};

/// The lowest and highest time that a field may have.
struct time_bounds
{
  std::chrono::milliseconds lowest;
  std::chrono::milliseconds highest;
};

/// One entry of a map, with the place of its key.
struct map_entry
{
  std::string key;
  YAML::Mark location;
  YAML::Node value;
};

/// Reads values out of YAML nodes and collects what is wrong. Each method
/// names the field in its messages.
class yaml_reader
{
public:
  explicit yaml_reader(fault_list& aFaults);

  /// The entries of a map; empty and a fault if it is none or has a key
  /// twice. The place is that of its key.
  [[nodiscard]] std::vector<map_entry> Map(const YAML::Node& aNode,
                                           const YAML::Mark& aLocation,
                                           const std::string& aContext);

  /// The same, where only the known keys may stand.
  [[nodiscard]] std::vector<map_entry> Fields(
    const YAML::Node& aNode,
    const YAML::Mark& aLocation,
    const std::string& aContext,
    std::span<const std::string_view> aKnown);

  /// A name of letters, digits, dots, dashes and underscores.
  [[nodiscard]] bool Name(const std::string& aText,
                          const YAML::Mark& aLocation,
                          const std::string& aContext);

  /// A list of names without doubles, with at least one.
  [[nodiscard]] std::vector<std::string> Names(const map_entry& aField);

  /// The place in the list of the word that the field holds.
  [[nodiscard]] std::optional<std::size_t> OneOf(
    const map_entry& aField,
    std::span<const std::string_view> aWords);

  /// A time with its unit.
  [[nodiscard]] std::optional<std::chrono::milliseconds> Time(
    const map_entry& aField,
    const time_bounds& aBounds);

  /// A share such as 99.9%, as a number between 0 and 1.
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

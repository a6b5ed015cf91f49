#include "currantshed/policy/yaml_reader.hpp"

#include <algorithm>
#include <cmath>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "currantshed/policy/closest_match.hpp"
#include "currantshed/settings/duration.hpp"

namespace currantshed::policy::internal {
namespace {

constexpr std::size_t kMaxFaults = 100;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxQuoteLength = 40;
constexpr std::size_t kMaxNames = 64;
constexpr double kPercent = 100;

/// Percentages are rounded to a millionth of a percent, so that formatting and
/// parsing a percentage yields the same number.
constexpr double kSharesPerPercent = 1e6;

/// Quotes a text, truncated to kMaxQuoteLength.
std::string
Quote(const std::string& aText)
{
  const bool isLong = aText.size() > kMaxQuoteLength;
  return absl::StrCat(
    "'", aText.substr(0, kMaxQuoteLength), isLong ? "..." : "", "'");
}

std::string
Join(std::span<const std::string_view> aWords)
{
  std::string text;
  for (const auto word : aWords) {
    text.append(text.empty() ? "" : ", ").append(word);
  }
  return text;
}

/// Suggests the closest known word, or else lists all known words.
std::string
Suggestion(const std::string& aWord, std::span<const std::string_view> aKnown)
{
  const auto match = ClosestMatch(aWord, aKnown);
  if (match) {
    return absl::StrCat("did you mean '", std::string(*match), "'?");
  }
  return absl::StrCat("known are: ", Join(aKnown));
}

bool
IsNameCharacter(char aCharacter)
{
  return absl::ascii_isalnum(static_cast<unsigned char>(aCharacter)) ||
         aCharacter == '-' || aCharacter == '_' || aCharacter == '.';
}

bool
IsName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         absl::ascii_isalnum(static_cast<unsigned char>(aText.front())) &&
         std::all_of(aText.begin(), aText.end(), IsNameCharacter);
}

bool
IsDecimal(const std::string& aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return absl::ascii_isdigit(static_cast<unsigned char>(aCharacter)) ||
                  aCharacter == '.';
         });
}

} // namespace

void
fault_list::Add(const YAML::Mark& aLocation, std::string aMessage)
{
  if (mFaults.size() < kMaxFaults) {
    mFaults.push_back(
      { aLocation.line + 1, aLocation.column + 1, std::move(aMessage) });
  }
}

std::vector<fault>
fault_list::Take()
{
  std::stable_sort(mFaults.begin(),
                   mFaults.end(),
                   [](const fault& aLeft, const fault& aExpected) {
                     return aLeft.line != aExpected.line
                              ? aLeft.line < aExpected.line
                              : aLeft.column < aExpected.column;
                   });
  return std::move(mFaults);
}

yaml_reader::yaml_reader(fault_list& aFaults)
  : mFaults(aFaults)
{
}

void
yaml_reader::Add(const YAML::Mark& aLocation, std::string aMessage)
{
  mFaults.Add(aLocation, std::move(aMessage));
}

std::vector<map_entry>
yaml_reader::Map(const YAML::Node& aNode,
                 const YAML::Mark& aLocation,
                 const std::string& aContext)
{
  if (!aNode.IsMap()) {
    const auto location = aNode.IsNull() ? aLocation : aNode.Mark();
    Add(location, absl::StrCat(aContext, " must be a map of key: value"));
    return {};
  }
  std::vector<map_entry> entries;
  absl::flat_hash_set<std::string> seen;
  for (const auto& pair : aNode) {
    const auto location = pair.first.Mark();
    if (!pair.first.IsScalar()) {
      Add(location, absl::StrCat("a key of ", aContext, " must be a text"));
      continue;
    }
    const std::string& key = pair.first.Scalar();
    if (!seen.insert(key).second) {
      Add(location,
          absl::StrCat(
            Quote(key), " stands twice in ", aContext, "; keep one of them"));
      continue;
    }
    entries.push_back({ key, location, pair.second });
  }
  return entries;
}

std::vector<map_entry>
yaml_reader::Fields(const YAML::Node& aNode,
                    const YAML::Mark& aLocation,
                    const std::string& aContext,
                    std::span<const std::string_view> aKnown)
{
  std::vector<map_entry> known;
  for (const auto& entry : Map(aNode, aLocation, aContext)) {
    if (std::find(aKnown.begin(), aKnown.end(), entry.key) != aKnown.end()) {
      known.push_back(entry);
      continue;
    }
    Add(entry.location,
        absl::StrCat("unknown key ",
                     Quote(entry.key),
                     " in ",
                     aContext,
                     "; ",
                     Suggestion(entry.key, aKnown)));
  }
  return known;
}

bool
yaml_reader::Name(const std::string& aText,
                  const YAML::Mark& aLocation,
                  const std::string& aContext)
{
  if (IsName(aText)) {
    return true;
  }
  Add(aLocation,
      absl::StrCat(Quote(aText),
                   " can't be a name in ",
                   aContext,
                   "; use up to ",
                   kMaxNameLength,
                   " letters, digits, dots, dashes and underscores, the first "
                   "a letter or digit"));
  return false;
}

std::vector<std::string>
yaml_reader::Names(const map_entry& aField)
{
  const auto& node = aField.value;
  if (!node.IsSequence() || node.size() == 0) {
    Add(node.IsNull() ? aField.location : node.Mark(),
        absl::StrCat(aField.key,
                     " must be a list with at least one name, as [a, b]"));
    return {};
  }
  if (node.size() > kMaxNames) {
    Add(node.Mark(),
        absl::StrCat(aField.key, " may have at most ", kMaxNames, " names"));
    return {};
  }
  std::vector<std::string> names;
  for (const auto& item : node) {
    if (!item.IsScalar()) {
      Add(item.Mark(), absl::StrCat("each of ", aField.key, " must be a name"));
      continue;
    }
    const std::string& name = item.Scalar();
    if (!Name(name, item.Mark(), aField.key)) {
      continue;
    }
    if (std::find(names.begin(), names.end(), name) != names.end()) {
      Add(item.Mark(),
          absl::StrCat(
            Quote(name), " stands twice in ", aField.key, "; keep one"));
      continue;
    }
    names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::optional<std::string>
yaml_reader::Scalar(const map_entry& aField, const std::string& aExpected)
{
  if (aField.value.IsScalar()) {
    return aField.value.Scalar();
  }
  const auto location =
    aField.value.IsNull() ? aField.location : aField.value.Mark();
  Add(location, absl::StrCat(aField.key, " must be ", aExpected));
  return std::nullopt;
}

std::optional<std::size_t>
yaml_reader::OneOf(const map_entry& aField,
                   std::span<const std::string_view> aWords)
{
  const std::string expected = absl::StrCat("one of: ", Join(aWords));
  const auto text = Scalar(aField, expected);
  if (!text) {
    return std::nullopt;
  }
  const auto found = std::find(aWords.begin(), aWords.end(), *text);
  if (found == aWords.end()) {
    Add(aField.value.Mark(),
        absl::StrCat(aField.key, " must be ", expected, "; is ", Quote(*text)));
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - aWords.begin());
}

std::optional<std::chrono::milliseconds>
yaml_reader::Time(const map_entry& aField, const time_bounds& aBounds)
{
  const std::string expected =
    absl::StrCat("a time from ",
                 settings::FormatDuration(aBounds.lowest),
                 " to ",
                 settings::FormatDuration(aBounds.highest),
                 " with its unit (ms, s, m or h)");
  const auto text = Scalar(aField, expected);
  if (!text) {
    return std::nullopt;
  }
  const auto time =
    settings::ParseDuration(*text, settings::unitless_number::kRejected);
  if (!time || *time < aBounds.lowest || *time > aBounds.highest) {
    Add(aField.value.Mark(),
        absl::StrCat(aField.key, " must be ", expected, "; is ", Quote(*text)));
    return std::nullopt;
  }
  return time;
}

std::optional<double>
yaml_reader::Percentage(const map_entry& aField,
                        double aLowest,
                        double aHighest)
{
  const std::string expected = absl::StrCat(
    "a share from ", aLowest * kPercent, "% to ", aHighest * kPercent, "%");
  const auto text = Scalar(aField, expected);
  if (!text) {
    return std::nullopt;
  }
  double percent = 0;
  const bool hasSign = !text->empty() && text->back() == '%';
  const std::string digits = text->substr(0, text->size() - (hasSign ? 1 : 0));
  const bool isNumber =
    hasSign && IsDecimal(digits) && absl::SimpleAtod(digits, &percent);
  const double share =
    std::round(percent * kSharesPerPercent) / (kPercent * kSharesPerPercent);
  if (!isNumber || share < aLowest || share > aHighest) {
    Add(aField.value.Mark(),
        absl::StrCat(aField.key, " must be ", expected, "; is ", Quote(*text)));
    return std::nullopt;
  }
  return share;
}

} // namespace currantshed::policy::internal

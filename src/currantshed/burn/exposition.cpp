#include "currantshed/burn/exposition.hpp"

#include <optional>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

namespace currantshed::burn {
namespace {

bool
IsNameCharacter(char aCharacter)
{
  return absl::ascii_isalnum(static_cast<unsigned char>(aCharacter)) ||
         aCharacter == '_' || aCharacter == ':';
}

/// Parses one line from left to right.
class line_reader
{
public:
  explicit line_reader(std::string_view aLine)
    : mRest(aLine)
  {
  }

  std::optional<sample> Read()
  {
    sample result;
    result.name = Name();
    const bool isName =
      !result.name.empty() &&
      !absl::ascii_isdigit(static_cast<unsigned char>(result.name.front()));
    if (!isName || !Labels(result)) {
      return std::nullopt;
    }
    SkipSpace();
    const std::string value(mRest.substr(0, mRest.find_first_of(" \t")));
    if (!absl::SimpleAtod(value, &result.value)) {
      return std::nullopt;
    }
    return result;
  }

private:
  void SkipSpace()
  {
    while (!mRest.empty() && (mRest.front() == ' ' || mRest.front() == '\t')) {
      mRest.remove_prefix(1);
    }
  }

  bool Take(char aCharacter)
  {
    SkipSpace();
    if (mRest.empty() || mRest.front() != aCharacter) {
      return false;
    }
    mRest.remove_prefix(1);
    return true;
  }

  std::string Name()
  {
    SkipSpace();
    std::size_t length = 0;
    while (length < mRest.size() && IsNameCharacter(mRest[length])) {
      ++length;
    }
    std::string name(mRest.substr(0, length));
    mRest.remove_prefix(length);
    return name;
  }

  /// Parses optional labels in braces; returns false if they are malformed.
  bool Labels(sample& aSample)
  {
    if (!Take('{')) {
      return true;
    }
    while (!Take('}')) {
      const std::string name = Name();
      if (name.empty() || !Take('=')) {
        return false;
      }
      auto value = Quoted();
      if (!value) {
        return false;
      }
      aSample.labels[name] = std::move(*value);
      if (!Take(',') && (mRest.empty() || mRest.front() != '}')) {
        return false;
      }
    }
    return true;
  }

  std::optional<std::string> Quoted()
  {
    if (!Take('"')) {
      return std::nullopt;
    }
    std::string text;
    while (!mRest.empty()) {
      const char next = mRest.front();
      mRest.remove_prefix(1);
      if (next == '"') {
        return text;
      }
      if (next != '\\') {
        text += next;
        continue;
      }
      if (mRest.empty()) {
        return std::nullopt;
      }
      text += mRest.front() == 'n' ? '\n' : mRest.front();
      mRest.remove_prefix(1);
    }
    return std::nullopt;
  }

  std::string_view mRest;
};

} // namespace

exposition
ParseExposition(std::string_view aText)
{
  exposition result;
  int number = 0;
  while (!aText.empty()) {
    ++number;
    const auto end = aText.find('\n');
    auto line = aText.substr(0, end);
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    const auto first = line.find_first_not_of(" \t");
    if (first == std::string_view::npos || line[first] == '#') {
      continue;
    }
    auto read = line_reader(line).Read();
    if (!read) {
      result.badLines.push_back(number);
      continue;
    }
    result.samples.push_back(std::move(*read));
  }
  return result;
}

std::string
FindLabel(const sample& aSample, const std::string& aName)
{
  const auto found = aSample.labels.find(aName);
  return found == aSample.labels.end() ? std::string() : found->second;
}

} // namespace currantshed::burn

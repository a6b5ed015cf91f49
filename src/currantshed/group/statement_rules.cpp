#include "currantshed/group/statement_rules.hpp"

#include <algorithm>
#include <array>
#include <string>

#include <absl/strings/ascii.h>

namespace currantshed::group {

namespace {

constexpr std::string_view kReservedPrefix = "currantshed_";

constexpr std::array<std::string_view, 26> kRefusedKeywords{
  "abort",   "begin",      "call",    "checkpoint", "close",     "commit",
  "copy",    "deallocate", "declare", "discard",    "do",        "end",
  "execute", "fetch",      "listen",  "load",       "move",      "notify",
  "prepare", "release",    "reset",   "rollback",   "savepoint", "set",
  "start",   "unlisten"
};

// Removes a comment from the front of the text, including nested ones.
std::string_view
WithoutBlockComment(std::string_view aSql)
{
  int depth = 0;
  std::size_t place = 0;
  while (place < aSql.size()) {
    const auto rest = aSql.substr(place);
    if (rest.starts_with("/*")) {
      ++depth;
      place += 2;
    } else if (rest.starts_with("*/")) {
      --depth;
      place += 2;
    } else {
      ++place;
    }
    if (depth == 0) {
      break;
    }
  }
  return aSql.substr(place);
}

// Removes what may precede the first keyword.
std::string_view
SkipToFirstKeyword(std::string_view aSql)
{
  while (!aSql.empty()) {
    if (aSql.starts_with("--")) {
      const auto end = aSql.find('\n');
      aSql = end == std::string_view::npos ? "" : aSql.substr(end);
    } else if (aSql.starts_with("/*")) {
      aSql = WithoutBlockComment(aSql);
    } else if (absl::ascii_isspace(static_cast<unsigned char>(aSql[0])) ||
               aSql[0] == ';' || aSql[0] == '(') {
      aSql.remove_prefix(1);
    } else {
      break;
    }
  }
  return aSql;
}

std::string
FirstKeyword(std::string_view aSql)
{
  const auto text = SkipToFirstKeyword(aSql);
  const auto* const end =
    std::find_if_not(text.begin(), text.end(), [](unsigned char aLetter) {
      return absl::ascii_isalpha(aLetter);
    });
  return absl::AsciiStrToLower(std::string(text.begin(), end));
}

bool
IsRefused(const std::string& aKeyword)
{
  return std::find(kRefusedKeywords.begin(),
                   kRefusedKeywords.end(),
                   aKeyword) != kRefusedKeywords.end();
}

} // namespace

bool
MayCallerRun(const std::string& aSql)
{
  const auto keyword = FirstKeyword(aSql);
  return !keyword.empty() && !IsRefused(keyword) &&
         absl::AsciiStrToLower(aSql).find(kReservedPrefix) == std::string::npos;
}

} // namespace currantshed::group

#include "standin/upstream/sql_text.hpp"

#include <algorithm>
#include <cctype>
#include <sstream>

namespace currantshed::standin::postgres {

namespace {

constexpr std::string_view kSpace = " \t\r\n\f;";

// The offset after the token at an offset: a quoted string, a comment, or one
// character.
std::size_t
Skip(std::string_view aText, std::size_t aOffset)
{
  const char first = aText[aOffset];
  std::string_view end;
  std::size_t begin = 1;
  if (first == '\'' || first == '"') {
    end = aText.substr(aOffset, 1);
  } else if (aText.substr(aOffset).starts_with("--")) {
    end = "\n";
  } else if (aText.substr(aOffset).starts_with("/*")) {
    end = "*/";
    begin = end.size();
  } else {
    return aOffset + 1;
  }
  const auto found = aText.find(end, aOffset + begin);
  return found == std::string_view::npos ? aText.size() : found + end.size();
}

std::string_view
SkipSpaceAndComments(std::string_view aText)
{
  while (!aText.empty()) {
    const bool comment = aText.starts_with("--") || aText.starts_with("/*");
    if (!comment && kSpace.find(aText.front()) == std::string_view::npos) {
      break;
    }
    aText.remove_prefix(Skip(aText, 0));
  }
  return aText;
}

std::string
Upper(std::string_view aText)
{
  std::string text(aText);
  std::transform(
    text.begin(), text.end(), text.begin(), [](unsigned char aOne) {
      return static_cast<char>(std::toupper(aOne));
    });
  return text;
}

} // namespace

std::vector<std::string>
SplitStatements(std::string_view aText)
{
  std::vector<std::string> statements;
  std::size_t begin = 0;
  std::size_t offset = 0;
  while (begin < aText.size()) {
    while (offset < aText.size() && aText[offset] != ';') {
      offset = Skip(aText, offset);
    }
    const auto piece = aText.substr(begin, offset - begin);
    if (!SkipSpaceAndComments(piece).empty()) {
      statements.emplace_back(SkipSpaceAndComments(piece));
    }
    begin = ++offset;
  }
  return statements;
}

std::string
FirstWord(std::string_view aSql)
{
  const auto rest = SkipSpaceAndComments(aSql);
  std::size_t size = 0;
  while (size < rest.size() &&
         std::isalpha(static_cast<unsigned char>(rest[size])) != 0) {
    ++size;
  }
  return Upper(rest.substr(0, size));
}

bool
SaysReadOnly(std::string_view aSql)
{
  std::istringstream words(Upper(aSql));
  std::string before;
  for (std::string word; words >> word; before = word) {
    if (before == "READ" && word.starts_with("ONLY")) {
      return true;
    }
  }
  return false;
}

} // namespace currantshed::standin::postgres
